//! Reports entries of the store that can't be read to operators.

use super::Node;
use crate::event::{self, Record};
use alderglade_core::fleet::faults::{Faults, News};

impl Node {
    /// Reports servers' entries that have become unreadable or readable.
    pub(super) fn report_server_faults(&self) {
        let news = self.state.borrow_mut().directory.take_fault_news();
        self.report_faults("servers", &news);
    }

    /// Updates the record of hosts' entries that can't be read, and reports what has changed.
    pub(super) fn update_host_faults(&self, update: impl FnOnce(&mut Faults)) {
        let mut state = self.state.borrow_mut();
        update(&mut state.host_faults);
        let news = state.host_faults.take_news();
        drop(state);
        self.report_faults("hosts", &news);
    }

    /// Reports that the newest configuration can't be read, once per problem.
    pub(super) fn report_config_fault(&self, problem: String) {
        let mut state = self.state.borrow_mut();
        if state.config_fault.as_ref() == Some(&problem) {
            return;
        }
        self.metrics.unreadable.inc();
        event::write(&Record::ConfigUnreadable { problem: &problem });
        state.config_fault = Some(problem);
    }

    fn report_faults(&self, of: &str, news: &News) {
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
