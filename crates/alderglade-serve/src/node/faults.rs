//! Entries of the store that can't be read, as operators are told of them.

use super::Node;
use crate::event::{self, Record};
use alderglade_core::fleet::faults::{Faults, News};

impl Node {
    /// Tells what is new of servers' entries that can't be read.
    pub(super) fn tell_server_faults(&self) {
        let news = self.state.borrow_mut().directory.take_fault_news();
        self.tell_faults("servers", &news);
    }

    /// Notes something of hosts' entries that can't be read, and tells what is new.
    pub(super) fn host_faults(&self, note: impl FnOnce(&mut Faults)) {
        let mut state = self.state.borrow_mut();
        note(&mut state.host_faults);
        let news = state.host_faults.take_news();
        drop(state);
        self.tell_faults("hosts", &news);
    }

    /// Tells that the newest configuration can't be read, once as long as the same is wrong with it.
    pub(super) fn tell_config_fault(&self, problem: String) {
        let mut state = self.state.borrow_mut();
        if state.config_fault.as_ref() == Some(&problem) {
            return;
        }
        self.metrics.unreadable.inc();
        event::write(&Record::ConfigUnreadable { problem: &problem });
        state.config_fault = Some(problem);
    }

    fn tell_faults(&self, of: &str, news: &News) {
        for fault in &news.faults {
            event::write(&Record::EntryUnreadable {
                of,
                name: &fault.name,
                problem: &fault.problem,
            });
        }
        let count = news.faults.len() as u64 + news.more;
        self.metrics.unreadable.inc_by(count);
        for name in &news.resolved {
            event::write(&Record::EntryMended { of, name });
        }
    }
}
