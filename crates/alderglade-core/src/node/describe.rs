//! Descriptions of the state for operators' logs.

use super::Node;
use crate::cell::Cell;

impl Node {
    /// Describes what is known of the cells in this host's failure domain: their last load and who they are homed at, and
    /// for those that are open here the state of each engine.
    pub fn describe_cells(&self) -> String {
        let own = &self.view.own().domain;
        let keys = self.cells.keys().filter(|key| key.domain == *own);
        let cells = keys.map(|key| {
            let load = self.loads.get(key).map(|load| {
                let age = self.now.since(load.at).as_millis();
                format!("{} engines open {age} ms ago", load.digest.open)
            });
            let load = load.unwrap_or_else(|| "no load known".to_string());
            let home = self.view.home(&key.to_string(), self.now);
            let engines = self.homes.get(key).into_iter().flat_map(Cell::engines);
            let engines: Vec<String> = engines.map(|engine| engine.describe(self.now)).collect();
            format!("{key} at {home}: {load}; here: [{}]", engines.join(", "))
        });
        let cells: Vec<String> = cells.collect();
        match cells.is_empty() {
            true => "the settings have no cell here".to_string(),
            false => cells.join("; "),
        }
    }
}
