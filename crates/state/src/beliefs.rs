//! What a dispatcher has learned of its log workers and jobs, for the process that takes over from it. A process that
//! starts under load and knows nothing takes log workers of four slots for one or two, since reports tell of free
//! slots alone, and jobs for a fraction of their length; it needs ten seconds to learn better.

use std::io;
use std::path::Path;

use rookspoke_decisions::{Belief, Beliefs, Learned, Name, Span, Time};
use serde::{Deserialize, Serialize};

use super::file::{self, FileError};

const NAME: &str = "rookspoke.beliefs";
const KIND: &str = "rookspoke-beliefs";

#[derive(Deserialize, Serialize)]
struct Text {
    fill: f64,
    pressure: f64,
    classes: Vec<Class>,
    workers: Vec<Worker>,
}

/// By name: a new configuration may have the classes in another order.
#[derive(Deserialize, Serialize)]
struct Class {
    name: String,
    run_us: i64,
    cost_s: f64,
    seen: u32,
}

#[derive(Deserialize, Serialize)]
struct Worker {
    name: String,
    started_us: Option<i64>,
    slots: Option<f64>,
    fails: u32,
    shunned_until_us: i64,
    turn_spent: i64,
}

/// Leaves beliefs in a folder; `classes` are those of the settings, in their order.
///
/// # Errors
/// They cannot be written.
pub fn leave(folder: &Path, classes: &[Name], beliefs: &Beliefs) -> io::Result<()> {
    let Beliefs { learned, workers } = beliefs;
    let runs = classes.iter().zip(&learned.run).zip(&learned.costs);
    let text = Text {
        fill: learned.fill,
        pressure: learned.pressure,
        classes: runs
            .map(|((name, run), cost)| Class {
                name: name.to_string(),
                run_us: run.0,
                cost_s: cost.0,
                seen: cost.1,
            })
            .collect(),
        workers: workers
            .iter()
            .map(|belief| Worker {
                name: belief.worker.to_string(),
                started_us: belief.started.map(|at| at.0),
                slots: belief.slots,
                fails: belief.fails.0,
                shunned_until_us: belief.fails.1 .0,
                turn_spent: belief.turn_spent,
            })
            .collect(),
    };
    let path = folder.join(NAME);
    file::write(&path, KIND, &serde_json::to_string(&text).map_err(io::Error::other)?)?;
    file::put_in_place(&path)
}

/// Finds what another process left; none if it left nothing.
///
/// # Errors
/// The file cannot be read, or makes no sense.
pub fn find(folder: &Path, classes: &[Name]) -> Result<Option<Beliefs>, FileError> {
    let parse = |text: &str| {
        let text: Text = serde_json::from_str(text).map_err(|error| error.to_string())?;
        beliefs(text, classes).ok_or_else(|| "found a figure that cannot be, or other classes".to_owned())
    };
    file::read(&folder.join(NAME), KIND, parse)
}

fn beliefs(text: Text, classes: &[Name]) -> Option<Beliefs> {
    let plain = |value: f64| value.is_finite() && value >= 0.0;
    let of_class = |name: &Name| text.classes.iter().find(|class| class.name == **name);
    let found: Vec<&Class> = classes.iter().map(of_class).collect::<Option<_>>()?;
    let sound = found.iter().all(|class| class.run_us > 0 && plain(class.cost_s)) && plain(text.fill);
    let sound = sound && (0.0..=1.0).contains(&text.pressure);
    let fits = |worker: &Worker| worker.slots.is_none_or(|slots| slots >= 1.0 && plain(slots));
    if !sound || !text.workers.iter().all(fits) {
        return None;
    }
    let learned = Learned {
        fill: text.fill,
        pressure: text.pressure,
        run: found.iter().map(|class| Span(class.run_us)).collect(),
        costs: found.iter().map(|class| (class.cost_s, class.seen)).collect(),
    };
    let belief = |worker: Worker| Belief {
        worker: worker.name.into(),
        started: worker.started_us.map(Time),
        slots: worker.slots,
        fails: (worker.fails, Time(worker.shunned_until_us)),
        turn_spent: worker.turn_spent,
    };
    Some(Beliefs { learned, workers: text.workers.into_iter().map(belief).collect() })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn beliefs_come_back_as_they_were_and_none_that_cannot_be() {
        let folder = tempfile::tempdir().expect("a folder");
        let classes: [Name; 2] = ["a".into(), "b".into()];
        assert_eq!(find(folder.path(), &classes), Ok(None));
        let belief = Belief {
            worker: "w".into(),
            started: Some(Time(5)),
            slots: Some(4.0),
            fails: (2, Time(9)),
            turn_spent: i64::MIN,
        };
        let learned = Learned {
            fill: 0.5,
            pressure: 0.1,
            run: vec![Span(1), Span(2)],
            costs: vec![(1.0, 1), (2.0, 2)],
        };
        let beliefs = Beliefs { learned, workers: vec![belief] };
        leave(folder.path(), &classes, &beliefs).expect("left");
        assert_eq!(find(folder.path(), &classes), Ok(Some(beliefs.clone())));
        let turned = find(folder.path(), &["b".into(), "a".into()]).expect("read").expect("some");
        assert_eq!(turned.learned.run, [Span(2), Span(1)]);
        assert!(find(folder.path(), &["c".into()]).is_err());
        let mut odd = beliefs;
        odd.workers[0].slots = Some(0.5);
        leave(folder.path(), &classes, &odd).expect("left");
        assert!(find(folder.path(), &classes).is_err());
    }
}
