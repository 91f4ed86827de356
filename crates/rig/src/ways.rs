//! Which ways of a play lead through links, and what disturbs each of them at a time. No I/O.

use std::collections::BTreeMap;

use rookspoke_decisions::Span;
use rookspoke_emulator::model::draw_affected;
use rookspoke_emulator::scenario::{Disturbance, Faults, Party, Scenario, Trouble};

/// A way between two parties. Dispatchers that every disturbance treats alike are one group, and share their links
/// to a log worker: three hundred dispatchers in two zones need two links to each, not three hundred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Way {
    /// From clients to a dispatcher.
    Clients(usize),
    /// From a dispatcher to discovery.
    Discovery(usize),
    /// From a group of dispatchers to a log worker.
    Worker(usize, usize),
}

/// The ways of a play that are disturbed at some time.
#[derive(Clone, Debug)]
pub struct Ways {
    /// The group of each dispatcher.
    pub groups: Vec<usize>,
    /// For each way, which disturbances concern it, by their place in `all`.
    pub disturbed: BTreeMap<Way, Vec<usize>>,
    /// All disturbances: those of the script, then the cuts of zones.
    pub all: Vec<Disturbance>,
}

/// What discovery has to tell counts as told after this, in any case.
const TOLD_WITHIN: Span = Span(6_000_000);
/// Draws of disturbances are apart from those of incidents.
const DRAWS: usize = 1 << 20;

impl Ways {
    /// The ways that a scenario disturbs.
    pub fn of(s: &Scenario, seed: u64) -> Self {
        let (dispatchers, workers, zones) = (s.count("dispatchers"), s.count("workers"), s.count("zones"));
        let mut all = s.disturbances.clone();
        for incident in s.incidents.iter().filter(|incident| incident.trouble == Trouble::ZoneCut) {
            let cut = Faults { cut: true, ..Faults::default() };
            let pairs = (0..zones).flat_map(|a| (0..zones).map(move |b| (a, b))).filter(|(a, b)| a != b);
            all.extend(pairs.map(|(a, b)| Disturbance {
                at: incident.at,
                length: incident.length,
                from: Party::Dispatchers(Some(a)),
                to: Party::Workers(Some(b)),
                part: 1.0,
                there: cut,
                back: cut,
            }));
        }
        let from: Vec<Vec<usize>> = all.iter().map(|one| members(one.from, dispatchers, zones)).collect();
        let to: Vec<Vec<usize>> = all
            .iter()
            .enumerate()
            .map(|(number, one)| {
                let of = match one.to {
                    Party::Dispatchers(_) | Party::Dispatcher(_) => dispatchers,
                    _ => workers,
                };
                let everybody = members(one.to, of, zones);
                let drawn = draw_affected(seed, DRAWS + number, one.part, everybody.len());
                drawn.into_iter().map(|at| everybody[at]).collect()
            })
            .collect();
        let leads_to_workers =
            |number: &usize| matches!(all[*number].to, Party::Workers(_) | Party::Worker(_));
        // A dispatcher's group: which of the disturbances towards log workers begin at it.
        let signature = |dispatcher: usize| -> Vec<usize> {
            (0..all.len()).filter(leads_to_workers).filter(|n| from[*n].contains(&dispatcher)).collect()
        };
        let mut known: Vec<Vec<usize>> = Vec::new();
        let groups: Vec<usize> = (0..dispatchers)
            .map(|dispatcher| {
                let own = signature(dispatcher);
                known.iter().position(|other| *other == own).unwrap_or_else(|| {
                    known.push(own);
                    known.len() - 1
                })
            })
            .collect();
        let mut disturbed: BTreeMap<Way, Vec<usize>> = BTreeMap::new();
        for (number, one) in all.iter().enumerate() {
            let ways: Vec<Way> = match one.to {
                Party::Discovery => from[number].iter().map(|d| Way::Discovery(*d)).collect(),
                Party::Dispatchers(_) | Party::Dispatcher(_) => {
                    to[number].iter().map(|d| Way::Clients(*d)).collect()
                }
                Party::Workers(_) | Party::Worker(_) => (0..known.len())
                    .filter(|group| known[*group].contains(&number))
                    .flat_map(|group| to[number].iter().map(move |worker| Way::Worker(group, *worker)))
                    .collect(),
                // No way leads there, and no script is read that says so.
                Party::Clients => Vec::new(),
            };
            ways.into_iter().for_each(|way| disturbed.entry(way).or_default().push(number));
        }
        Ways { groups, disturbed, all }
    }

    /// How many groups of dispatchers there are.
    pub fn group_count(&self) -> usize {
        self.groups.iter().max().map_or(1, |most| most + 1)
    }

    /// What disturbs a way while these disturbances are on, there and back.
    pub fn faults(&self, way: Way, on: &[usize]) -> (Faults, Faults) {
        let concerns = self.disturbed.get(&way).map_or(&[][..], Vec::as_slice);
        let now = concerns.iter().filter(|number| on.contains(number)).map(|number| &self.all[*number]);
        now.fold((Faults::default(), Faults::default()), |(there, back), one| {
            (both(there, one.there), both(back, one.back))
        })
    }

    /// The longest that links hold up news of a drain on its way to a dispatcher, and what the dispatcher sends on its
    /// way to the log worker. Whatever discovery has to tell counts as told 6 s afterwards, whether it arrived or not.
    pub fn most_delay(&self) -> Span {
        let to_workers = self.all.iter().filter(|one| matches!(one.to, Party::Workers(_) | Party::Worker(_)));
        let sends = to_workers.fold(Span(0), |sum, one| sum + one.there.delay + one.there.jitter);
        let news = self.all.iter().filter(|one| one.to == Party::Discovery).fold(Span(0), |sum, one| {
            let Faults { delay, jitter, cut, refuse, .. } = one.back;
            let lost = cut || refuse || one.there.cut || one.there.refuse;
            sum + if lost { TOLD_WITHIN } else { delay + jitter }
        });
        sends + news.min(TOLD_WITHIN)
    }

    /// The longest that links hold up a request, or the end of its connection, between a client and a log worker. What is
    /// on a link that is cut or slow comes at the latest when that is over.
    pub fn most_transit(&self) -> Span {
        let carries_requests = |one: &&Disturbance| one.to != Party::Discovery;
        self.all.iter().filter(carries_requests).fold(Span(0), |sum, one| {
            let Faults { delay, jitter, cut, rate, .. } = one.there;
            let held = if cut || rate > 0.0 { one.length } else { Span(0) };
            sum + delay + jitter + held
        })
    }
}

/// Two sets of faults at once.
fn both(a: Faults, b: Faults) -> Faults {
    // 0 stands for no limit.
    let least = |a: f64, b: f64| if a > 0.0 && b > 0.0 { a.min(b) } else { a.max(b) };
    let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
    Faults {
        delay: a.delay + b.delay,
        jitter: a.jitter + b.jitter,
        cut: a.cut || b.cut,
        refuse: a.refuse || b.refuse,
        rate: least(a.rate, b.rate),
        reset_at: least(a.reset_at, b.reset_at),
        loss: either(a.loss, b.loss),
        duplicate: either(a.duplicate, b.duplicate),
        reorder: either(a.reorder, b.reorder),
    }
}

/// Who is meant, out of `of`, dealt out over the zones in turn.
fn members(party: Party, of: usize, zones: usize) -> Vec<usize> {
    match party {
        Party::Clients | Party::Discovery => Vec::new(),
        Party::Dispatchers(None) | Party::Workers(None) => (0..of).collect(),
        Party::Dispatchers(Some(zone)) | Party::Workers(Some(zone)) => {
            (0..of).filter(|number| number % zones == zone).collect()
        }
        Party::Dispatcher(number) | Party::Worker(number) => vec![number],
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rookspoke_emulator::scenario::Stage;
    use rookspoke_emulator::script::read_text;

    fn ways(text: &str) -> Ways {
        let s = read_text("t.lab", text, Stage::Processes).unwrap_or_else(|p| panic!("{}", p.render()));
        Ways::of(&s, 1)
    }

    #[test]
    fn dispatchers_that_are_disturbed_alike_share_links() {
        let text = "dispatchers 30\nworkers 20\nincident zone-cut at 1s for 2s\n\
                    incident link at 3s for 1s from n4 to w7 delay 20ms\n\
                    incident link at 3s for 1s from n5 to discovery cut";
        let ways = ways(text);
        // Two zones, and one dispatcher of its own; the log worker that is far from it only is in the other zone too.
        assert_eq!(ways.group_count(), 3);
        let to_workers = ways.disturbed.keys().filter(|way| matches!(way, Way::Worker(..))).count();
        assert_eq!((to_workers, ways.disturbed.len()), (10 + 10 + 10, 31));
    }

    #[test]
    fn what_is_wrong_at_once_adds_up_and_ends_apart() {
        let text = "incident link at 1s for 2s from dispatchers to w0 delay 20ms loss 0.5\n\
                    incident link at 2s for 2s from n1 to workers delay 5ms rate 100 back cut";
        let ways = ways(text);
        let way = Way::Worker(ways.groups[1], 0);
        let (there, back) = ways.faults(way, &[0, 1]);
        assert_eq!((there.delay, there.rate, there.cut, back.cut), (Span(25_000), 100.0, false, true));
        assert_eq!(ways.faults(way, &[1]).0.loss, 0.0);
        assert_eq!(ways.faults(Way::Worker(ways.groups[0], 0), &[0, 1]).0.delay, Span(20_000));
        assert_eq!(ways.faults(way, &[]), (Faults::default(), Faults::default()));
    }

    #[test]
    fn a_part_is_drawn_by_the_seed() {
        let text = "workers 40\nincident link at 1s for 2s from dispatchers to workers part 0.25 cut";
        let s = read_text("t.lab", text, Stage::Processes).unwrap_or_else(|p| panic!("{}", p.render()));
        let drawn = |seed| Ways::of(&s, seed).disturbed.into_keys().collect::<Vec<_>>();
        assert_eq!((drawn(1).len(), drawn(1) == drawn(1), drawn(1) == drawn(2)), (10, true, false));
    }
}
