//! The memory kept for slow callers: counted once, and always given back.

use alderglade_serve::memory::{Pool, Portion};

const KB: usize = 1_024;

#[test]
fn the_first_bytes_of_each_request_are_free() {
    let pool = Pool::new(0);
    let mut portion = Portion::new(&pool);
    assert!(portion.grow(4 * KB));
    assert!(portion.grow(4 * KB));
    assert!(!portion.grow(1), "the pool has nothing");
}

#[test]
fn what_is_beyond_comes_from_the_pool_and_goes_back() {
    let pool = Pool::new(100 * KB);
    let mut one = Portion::new(&pool);
    assert!(one.grow(20 * KB));
    assert_eq!(pool.available(), 88 * KB);
    let mut other = Portion::new(&pool);
    assert!(!other.grow(200 * KB), "more than there is");
    assert_eq!(pool.available(), 88 * KB, "nothing was taken");
    assert!(other.grow(96 * KB));
    assert_eq!(pool.available(), 0);
    assert!(!one.grow(1));
    drop(other);
    assert!(one.grow(1));
    drop(one);
    assert_eq!(pool.available(), 100 * KB);
}
