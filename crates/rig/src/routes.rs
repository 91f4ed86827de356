//! The routes between parties that lead through links, and the faults on each of them at a time. No I/O.

use std::collections::BTreeMap;

use rookspoke_decisions::Span;
use rookspoke_emulator::model::draw_affected;
use rookspoke_emulator::scenario::{Endpoint, Faults, IncidentKind, LinkIncident, Scenario};

/// A route between two parties. Dispatchers whose routes to log workers have the same link incidents form a group and
/// share one link to each log worker: with a cut between two zones, 300 dispatchers need two links to each log worker
/// instead of 300.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Route {
    /// From clients to the dispatcher with this number.
    Clients(usize),
    /// From the dispatcher with this number to discovery.
    Discovery(usize),
    /// From a group of dispatchers to a log worker, by their numbers.
    Worker(usize, usize),
}

/// The routes of a scenario that have link incidents.
#[derive(Clone, Debug)]
pub struct Routes {
    /// The group of each dispatcher.
    pub groups: Vec<usize>,
    /// The link incidents of each route, as indices into `link_incidents`.
    pub incidents_by_route: BTreeMap<Route, Vec<usize>>,
    /// All link incidents: those of the script, then the cuts between zones.
    pub link_incidents: Vec<LinkIncident>,
}

/// The rig counts a notification by discovery as delivered after this time, whether or not it arrived.
const NOTIFICATION_LIMIT: Span = Span(6_000_000);
/// Added to the numbers of link incidents, so that their random draws differ from those of other incidents.
const DRAW_OFFSET: usize = 1 << 20;

impl Routes {
    /// Determines the routes with link incidents and the groups of dispatchers.
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let (dispatchers, workers, zones) =
            (scenario.count("dispatchers"), scenario.count("workers"), scenario.count("zones"));
        let mut link_incidents = scenario.link_incidents.clone();
        for incident in scenario.incidents.iter().filter(|incident| incident.kind == IncidentKind::ZoneCut) {
            let cut = Faults { cut: true, ..Faults::default() };
            let pairs = (0..zones).flat_map(|a| (0..zones).map(move |b| (a, b))).filter(|(a, b)| a != b);
            link_incidents.extend(pairs.map(|(a, b)| LinkIncident {
                at: incident.at,
                length: incident.length,
                from: Endpoint::Dispatchers(Some(a)),
                to: Endpoint::Workers(Some(b)),
                part: 1.0,
                forward: cut,
                backward: cut,
            }));
        }
        let from: Vec<Vec<usize>> =
            link_incidents.iter().map(|incident| members(incident.from, dispatchers, zones)).collect();
        let to: Vec<Vec<usize>> = link_incidents
            .iter()
            .enumerate()
            .map(|(number, incident)| {
                let party_count = match incident.to {
                    Endpoint::Dispatchers(_) | Endpoint::Dispatcher(_) => dispatchers,
                    _ => workers,
                };
                let candidates = members(incident.to, party_count, zones);
                let drawn = draw_affected(seed, DRAW_OFFSET + number, incident.part, candidates.len());
                drawn.into_iter().map(|at| candidates[at]).collect()
            })
            .collect();
        let leads_to_workers =
            |number: &usize| matches!(link_incidents[*number].to, Endpoint::Workers(_) | Endpoint::Worker(_));
        // Dispatchers form a group if the same link incidents to log workers begin at them.
        let signature = |dispatcher: usize| -> Vec<usize> {
            (0..link_incidents.len())
                .filter(leads_to_workers)
                .filter(|number| from[*number].contains(&dispatcher))
                .collect()
        };
        let mut signatures: Vec<Vec<usize>> = Vec::new();
        let groups: Vec<usize> = (0..dispatchers)
            .map(|dispatcher| {
                let own = signature(dispatcher);
                signatures.iter().position(|other| *other == own).unwrap_or_else(|| {
                    signatures.push(own);
                    signatures.len() - 1
                })
            })
            .collect();
        let mut incidents_by_route: BTreeMap<Route, Vec<usize>> = BTreeMap::new();
        for (number, incident) in link_incidents.iter().enumerate() {
            let routes: Vec<Route> = match incident.to {
                Endpoint::Discovery => {
                    from[number].iter().map(|dispatcher| Route::Discovery(*dispatcher)).collect()
                }
                Endpoint::Dispatchers(_) | Endpoint::Dispatcher(_) => {
                    to[number].iter().map(|dispatcher| Route::Clients(*dispatcher)).collect()
                }
                Endpoint::Workers(_) | Endpoint::Worker(_) => (0..signatures.len())
                    .filter(|group| signatures[*group].contains(&number))
                    .flat_map(|group| to[number].iter().map(move |worker| Route::Worker(group, *worker)))
                    .collect(),
                // Nothing connects to clients, and the script reader rejects such an incident.
                Endpoint::Clients => Vec::new(),
            };
            routes.into_iter().for_each(|route| incidents_by_route.entry(route).or_default().push(number));
        }
        Routes { groups, incidents_by_route, link_incidents }
    }

    /// Number of groups of dispatchers.
    pub fn group_count(&self) -> usize {
        self.groups.iter().max().map_or(1, |last| last + 1)
    }

    /// The faults of a route while the link incidents with these indices are active, forward and backward.
    pub fn faults(&self, route: Route, active: &[usize]) -> (Faults, Faults) {
        let incidents = self.incidents_by_route.get(&route).map_or(&[][..], Vec::as_slice);
        let in_effect = incidents
            .iter()
            .filter(|number| active.contains(number))
            .map(|number| &self.link_incidents[*number]);
        in_effect.fold((Faults::default(), Faults::default()), |(forward, backward), incident| {
            (combine(forward, incident.forward), combine(backward, incident.backward))
        })
    }

    /// The longest delay that links add between the notice of a drain and the arrival of the last request: to the notice
    /// on its way to a dispatcher, and to the request on its way to the log worker. A notice counts as delivered 6 s
    /// after it was sent, whether or not it arrived.
    pub fn max_drain_delay(&self) -> Span {
        let to_workers = self
            .link_incidents
            .iter()
            .filter(|incident| matches!(incident.to, Endpoint::Workers(_) | Endpoint::Worker(_)));
        let request_delay =
            to_workers.fold(Span(0), |sum, incident| sum + incident.forward.delay + incident.forward.jitter);
        let notice_delay = self
            .link_incidents
            .iter()
            .filter(|incident| incident.to == Endpoint::Discovery)
            .fold(Span(0), |sum, incident| {
                let Faults { delay, jitter, cut, refuse, .. } = incident.backward;
                let lost = cut || refuse || incident.forward.cut || incident.forward.refuse;
                sum + if lost { NOTIFICATION_LIMIT } else { delay + jitter }
            });
        request_delay + notice_delay.min(NOTIFICATION_LIMIT)
    }

    /// The longest delay that links add to a request, or to the end of its connection, between a client and a log worker.
    /// Data on a link that is cut or has a limited rate arrives when the incident ends, at the latest.
    pub fn max_transit(&self) -> Span {
        let carries_requests = |incident: &&LinkIncident| incident.to != Endpoint::Discovery;
        self.link_incidents.iter().filter(carries_requests).fold(Span(0), |sum, incident| {
            let Faults { delay, jitter, cut, rate, .. } = incident.forward;
            let hold = if cut || rate > 0.0 { incident.length } else { Span(0) };
            sum + delay + jitter + hold
        })
    }
}

/// Combines two sets of faults that act on the same direction.
fn combine(a: Faults, b: Faults) -> Faults {
    // 0 means that there is no limit.
    let smaller_limit = |a: f64, b: f64| if a > 0.0 && b > 0.0 { a.min(b) } else { a.max(b) };
    let probability_of_either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
    Faults {
        delay: a.delay + b.delay,
        jitter: a.jitter + b.jitter,
        cut: a.cut || b.cut,
        refuse: a.refuse || b.refuse,
        rate: smaller_limit(a.rate, b.rate),
        reset_at: smaller_limit(a.reset_at, b.reset_at),
        loss: probability_of_either(a.loss, b.loss),
        duplicate: probability_of_either(a.duplicate, b.duplicate),
        reorder: probability_of_either(a.reorder, b.reorder),
    }
}

/// The members of a party by number, of `count` dispatchers or log workers. These are assigned to zones in turn.
fn members(party: Endpoint, count: usize, zones: usize) -> Vec<usize> {
    match party {
        Endpoint::Clients | Endpoint::Discovery => Vec::new(),
        Endpoint::Dispatchers(None) | Endpoint::Workers(None) => (0..count).collect(),
        Endpoint::Dispatchers(Some(zone)) | Endpoint::Workers(Some(zone)) => {
            (0..count).filter(|number| number % zones == zone).collect()
        }
        Endpoint::Dispatcher(number) | Endpoint::Worker(number) => vec![number],
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rookspoke_emulator::scenario::Environment;
    use rookspoke_emulator::script::read_text;

    fn routes(text: &str) -> Routes {
        let scenario =
            read_text("t.lab", text, Environment::Processes).unwrap_or_else(|p| panic!("{}", p.render()));
        Routes::new(&scenario, 1)
    }

    #[test]
    fn dispatchers_with_the_same_link_incidents_share_links() {
        let text = "dispatchers 30\nworkers 20\nincident zone-cut at 1s for 2s\n\
                    incident link at 3s for 1s from n4 to w7 delay 20ms\n\
                    incident link at 3s for 1s from n5 to discovery cut";
        let routes = routes(text);
        // One group for each of the two zones, and n4 alone; log worker w7 is in the other zone, so n4 needs no more links
        // than the groups do.
        assert_eq!(routes.group_count(), 3);
        let to_workers =
            routes.incidents_by_route.keys().filter(|route| matches!(route, Route::Worker(..))).count();
        assert_eq!((to_workers, routes.incidents_by_route.len()), (10 + 10 + 10, 31));
    }

    #[test]
    fn the_faults_of_simultaneous_link_incidents_add_up_and_end_separately() {
        let text = "incident link at 1s for 2s from dispatchers to w0 delay 20ms loss 0.5\n\
                    incident link at 2s for 2s from n1 to workers delay 5ms rate 100 back cut";
        let routes = routes(text);
        let route = Route::Worker(routes.groups[1], 0);
        let (forward, backward) = routes.faults(route, &[0, 1]);
        assert_eq!(
            (forward.delay, forward.rate, forward.cut, backward.cut),
            (Span(25_000), 100.0, false, true)
        );
        assert_eq!(routes.faults(route, &[1]).0.loss, 0.0);
        assert_eq!(routes.faults(Route::Worker(routes.groups[0], 0), &[0, 1]).0.delay, Span(20_000));
        assert_eq!(routes.faults(route, &[]), (Faults::default(), Faults::default()));
    }

    #[test]
    fn the_affected_part_is_drawn_from_the_seed() {
        let text = "workers 40\nincident link at 1s for 2s from dispatchers to workers part 0.25 cut";
        let scenario =
            read_text("t.lab", text, Environment::Processes).unwrap_or_else(|p| panic!("{}", p.render()));
        let drawn = |seed| Routes::new(&scenario, seed).incidents_by_route.into_keys().collect::<Vec<_>>();
        assert_eq!((drawn(1).len(), drawn(1) == drawn(1), drawn(1) == drawn(2)), (10, true, false));
    }
}
