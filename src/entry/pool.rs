//! A few threads that make calls whose answers the control thread doesn't wait for.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

type Job = Box<dyn FnOnce() + Send>;

/// The threads.
#[derive(Clone)]
pub(crate) struct Pool {
    jobs: Sender<Job>,
}

impl Pool {
    /// Starts `count` threads under a name.
    pub(crate) fn start(name: &str, count: usize) -> Pool {
        let (jobs, waiting) = channel::<Job>();
        let waiting = Arc::new(Mutex::new(waiting));
        for _ in 0..count {
            let waiting = waiting.clone();
            let started = thread::Builder::new()
                .name(name.into())
                .spawn(move || work(&waiting));
            started.expect("a thread at the start of the process");
        }
        Pool { jobs }
    }

    /// Hands a call to the next free thread.
    pub(crate) fn run(&self, job: impl FnOnce() + Send + 'static) {
        // The threads live as long as the process.
        let _ = self.jobs.send(Box::new(job));
    }
}

fn work(waiting: &Mutex<Receiver<Job>>) {
    loop {
        let next = waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .recv();
        let Ok(job) = next else {
            return;
        };
        job();
    }
}
