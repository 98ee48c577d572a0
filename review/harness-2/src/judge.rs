//! DRAIN as RULES.md has it: no request reaches a runner later than `drainMs` after the store
//! acknowledged that it leaves, taken and sent on by a machine in touch.

use std::collections::HashMap;
use std::sync::Arc;

use crate::client::{Clients, Sent};
use crate::record::{Record, millis};
use crate::runner::Runner;
use crate::site::{DRAIN, Departure};

/// Given to the clocks of this program, which shares the processors with what it measures.
const MARGIN_MS: u64 = 50;

/// Notes what was sent, answered and run.
fn note_requests(record: &Record, clients: &Clients, runners: &[Arc<Runner>]) {
    let mut reached: HashMap<String, Vec<String>> = HashMap::new();
    for runner in runners {
        for arrival in runner.arrivals() {
            let at = record.seconds(arrival.at);
            let place = format!("{} at {at:.3} s", runner.id);
            reached.entry(arrival.id).or_default().push(place);
        }
    }
    for request in clients.sent() {
        let places = reached.get(&request.id).map(|places| places.join(", "));
        record.note(&format!(
            "request {} sent at {:.3} s, run by {}, answered {}",
            request.id,
            record.seconds(request.at),
            places.as_deref().unwrap_or("none"),
            request.status
        ));
    }
}

/// Notes what was sent, answered and run, and returns how many requests broke the rule.
pub fn count_late(
    record: &Record,
    clients: &Arc<Clients>,
    runners: &[Arc<Runner>],
    departures: &[Departure],
) -> usize {
    note_requests(record, clients, runners);
    let sent: HashMap<String, Sent> = clients
        .sent()
        .into_iter()
        .map(|sent| (sent.id.clone(), sent))
        .collect();
    let mut late = 0;
    for departure in departures {
        let limit = (departure.acked_at + DRAIN).max(departure.in_touch_from) + millis(MARGIN_MS);
        let arrivals = departure.runner.arrivals();
        let broken = arrivals.iter().filter(|arrival| {
            let request = sent.get(&arrival.id);
            let is_sent_in_touch = request.is_some_and(|it| it.at >= departure.in_touch_from);
            arrival.at > limit && is_sent_in_touch
        });
        let broken: Vec<_> = broken.collect();
        record.say(&format!(
            "runner {} left at {:.3} s (acknowledged by the store), the machine is in \
             touch from {:.3} s, {} requests reached the runner too late",
            departure.runner.id,
            record.seconds(departure.acked_at),
            record.seconds(departure.in_touch_from),
            broken.len()
        ));
        for arrival in &broken {
            let request = &sent[&arrival.id];
            let after = arrival.at - departure.acked_at;
            record.note(&format!(
                "  request {} sent at {:.3} s reached {} at {:.3} s, {} ms after the \
                 acknowledgement; the client got {}",
                arrival.id,
                record.seconds(request.at),
                departure.runner.id,
                record.seconds(arrival.at),
                after.as_millis(),
                request.status
            ));
        }
        late += broken.len();
    }
    let mut statuses: HashMap<u16, usize> = HashMap::new();
    for request in sent.values() {
        *statuses.entry(request.status).or_default() += 1;
    }
    let mut statuses: Vec<_> = statuses.into_iter().collect();
    statuses.sort_unstable();
    record.say(&format!("answers by status (0: none): {statuses:?}"));
    late
}
