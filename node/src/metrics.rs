//! The figures that operators fetch: counted once, where an event is final, from the start of the process.
use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Refused: another try does no harm.
    Shed,
    /// Failed.
    Errors,
}

/// Counts of one class, by [`Outcome`].
struct Class {
    /// Its name as a label's value.
    label: String,
    ended: [Cell<u64>; 3],
}

/// All counts of this process.
pub struct Figures {
    classes: Vec<Class>,
    /// Attempts written whole to upstreams.
    tries: Rc<Cell<u64>>,
    /// Configurations read again and followed, and those that could not be read.
    reloads: [Cell<u64>; 2],
}

/// The names of the outcomes, in the order of [`Outcome`].
const ENDED: [&str; 3] = ["ok", "shed", "errors"];

impl Figures {
    /// Counts for these classes, all at zero.
    pub fn new(classes: &[String]) -> Rc<Figures> {
        let class = |name: &String| Class { label: escaped(name), ended: Default::default() };
        let classes = classes.iter().map(class).collect();
        Rc::new(Figures { classes, tries: Rc::default(), reloads: Default::default() })
    }

    /// The count of attempts written whole, for those who write them.
    pub fn tries(&self) -> Rc<Cell<u64>> {
        self.tries.clone()
    }

    /// Counts a request as ended that was never taken.
    pub fn ended(&self, class: usize, outcome: Outcome) {
        if let Some(class) = self.classes.get(class) {
            bump(&class.ended[outcome as usize]);
        }
    }

    /// Counts a configuration that was read again, and whether it is followed.
    pub fn reloaded(&self, followed: bool) {
        bump(&self.reloads[usize::from(!followed)]);
    }

    /// The figures as operators read them, with how many requests are active, and upstreams listed and avoided.
    pub fn text(&self, active: usize, (listed, avoided): (usize, usize)) -> String {
        let mut text = String::new();
        let mut line = |figure: &str, value: u64| {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "node_{figure} {value}");
        };
        for (outcome, name) in ENDED.iter().enumerate() {
            for class in &self.classes {
                line(&format!("{name}{{kind=\"{}\"}}", class.label), class.ended[outcome].get());
            }
        }
        line("tries", self.tries.get());
        line("active", active as u64);
        line("pool_size", listed as u64);
        line("pool_ejected", avoided as u64);
        line("config_applied", self.reloads[0].get());
        line("config_rejected", self.reloads[1].get());
        text
    }
}

/// A request that was taken. It ends when this is dropped; without an outcome by then its client is gone.
pub struct Taken {
    figures: Rc<Figures>,
    class: usize,
    outcome: Cell<Option<Outcome>>,
}

impl Taken {
    /// A request of this class.
    pub fn new(figures: &Rc<Figures>, class: usize) -> Taken {
        Taken { figures: figures.clone(), class, outcome: Cell::new(None) }
    }

    /// Notes how the request ends; the last word counts.
    pub fn ends(&self, outcome: Outcome) {
        self.outcome.set(Some(outcome));
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        if let Some(outcome) = self.outcome.get() {
            self.figures.ended(self.class, outcome);
        }
    }
}

fn bump(count: &Cell<u64>) {
    count.set(count.get().wrapping_add(1));
}

/// A label's value as it stands between quotes.
fn escaped(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_counts_once_as_it_ended() {
        let figures = Figures::new(&["read".into(), "odd \"\\\n".into()]);
        let (served, gone) = (Taken::new(&figures, 0), Taken::new(&figures, 1));
        served.ends(Outcome::Ok);
        assert!(figures.text(2, (4, 1)).contains("node_ok{kind=\"read\"} 0\n"), "not before its end");
        served.ends(Outcome::Errors);
        drop((served, gone));
        figures.ended(1, Outcome::Shed);
        figures.tries().set(7);
        figures.reloaded(false);
        let wanted = [
            "node_ok{kind=\"read\"} 0",
            "node_ok{kind=\"odd \\\"\\\\\\n\"} 0",
            "node_shed{kind=\"read\"} 0",
            "node_shed{kind=\"odd \\\"\\\\\\n\"} 1",
            "node_errors{kind=\"read\"} 1",
            "node_errors{kind=\"odd \\\"\\\\\\n\"} 0",
            "node_tries 7",
            "node_active 2",
            "node_pool_size 4",
            "node_pool_ejected 1",
            "node_config_applied 0",
            "node_config_rejected 1",
        ];
        assert_eq!(figures.text(2, (4, 1)).lines().collect::<Vec<_>>(), wanted);
    }
}
