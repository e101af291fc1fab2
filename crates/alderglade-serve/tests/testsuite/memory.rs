//! The memory pool for slow callers: memory is counted once and always returned.

use alderglade_serve::memory::{Pool, Portion};

const KB: usize = 1_024;

#[test]
fn the_first_bytes_of_each_request_do_not_use_the_pool() {
    let pool = Pool::new(0);
    let mut portion = Portion::new(&pool);
    assert!(portion.grow(4 * KB));
    assert!(portion.grow(4 * KB));
    assert!(!portion.grow(1), "the pool is empty");
}

#[test]
fn further_bytes_are_taken_from_the_pool_and_returned() {
    let pool = Pool::new(100 * KB);
    let mut one = Portion::new(&pool);
    assert!(one.grow(20 * KB));
    assert_eq!(pool.available(), 88 * KB);
    let mut other = Portion::new(&pool);
    assert!(!other.grow(200 * KB), "more than the pool has");
    assert_eq!(pool.available(), 88 * KB, "nothing was allocated");
    assert!(other.grow(96 * KB));
    assert_eq!(pool.available(), 0);
    assert!(!one.grow(1));
    drop(other);
    assert!(one.grow(1));
    drop(one);
    assert_eq!(pool.available(), 100 * KB);
}

/// Guards against chunks of a stream that escape the bound because each is small.
#[test]
fn pieces_without_free_bytes_take_all_bytes_from_the_pool() {
    let pool = Pool::new(10 * KB);
    let mut one = Portion::without_free_bytes(&pool);
    assert!(one.grow(4 * KB));
    let mut two = Portion::without_free_bytes(&pool);
    assert!(two.grow(4 * KB));
    assert_eq!(pool.available(), 2 * KB);
    assert!(!Portion::without_free_bytes(&pool).grow(4 * KB));
    drop(one);
    assert_eq!(pool.available(), 6 * KB);
}
