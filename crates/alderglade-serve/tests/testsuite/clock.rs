//! Waits across a suspension of the host: the process clock continues, while the timers of the runtime stop.

use alderglade_core::time::Time;
use alderglade_serve::clock;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;

/// Much longer than any test may take.
const LONG: Duration = Duration::from_secs(600);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(test);
}

#[test]
fn a_wait_ends_when_the_host_resumes_after_its_deadline() {
    run(async {
        let (now, resumed) = (Cell::new(Time(0)), Notify::new());
        let wait = clock::wait_until(Time(0) + LONG, || now.get(), &resumed);
        let suspend = async {
            now.set(Time(0) + LONG + LONG);
            resumed.notify_waiters();
            std::future::pending::<()>().await;
        };
        tokio::select! {
            biased;
            () = wait => {}
            () = suspend => {}
        }
    });
}

#[test]
fn a_wait_continues_when_the_host_resumes_before_its_deadline() {
    run(async {
        let (now, resumed) = (Cell::new(Time(0)), Notify::new());
        let wait = clock::wait_until(Time(0) + LONG, || now.get(), &resumed);
        let suspend = async {
            for _ in 0..3 {
                now.set(now.get() + LONG / 4);
                resumed.notify_waiters();
                tokio::task::yield_now().await;
            }
        };
        tokio::select! {
            biased;
            () = wait => panic!("a quarter is left"),
            () = suspend => {}
        }
    });
}

#[test]
fn a_wait_for_a_past_deadline_ends_immediately() {
    run(async {
        clock::sleep_until(clock::now()).await;
        let timed_out = clock::timeout(Duration::ZERO, std::future::pending::<()>()).await;
        assert_eq!(timed_out, Err(clock::Elapsed));
        let ready = clock::timeout(Duration::ZERO, async { 7 }).await;
        assert_eq!(
            ready,
            Ok(7),
            "a result that is ready takes precedence over the timeout"
        );
    });
}
