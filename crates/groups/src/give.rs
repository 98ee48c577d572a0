//! Orders and questions, with what keeps them from being given twice.

use bergamot_ports::{GroupOrder, OrderRequest};
use bergamot_types::prelude::*;

use crate::planner::{GroupAction, GroupPlanner};
use crate::track::GivenOrder;

/// Time between an unanswered question and the next one, while a group may be standing still.
pub(crate) const SECOND_QUESTION: Millis = Millis(50);

impl GroupPlanner {
    /// Gives an order unless one is on its way, or the same was given a moment ago.
    pub(crate) fn give(
        &mut self,
        now: Millis,
        id: &UpstreamId,
        order: GroupOrder,
        actions: &mut Vec<GroupAction>,
    ) -> bool {
        let retry = self.options.order_retry;
        let is_join = matches!(order, GroupOrder::Join { .. });
        let track = self.tracks.get(id);
        if is_join && track.is_some_and(|track| self.may_have_restarted(track)) {
            return false;
        }
        let Some(track) = self.tracks.get_mut(id) else {
            return false;
        };
        let waits = track.given.as_ref().is_some_and(|given| {
            let is_recent = now.since(given.at) < retry;
            !given.is_answered || (is_recent && given.order == order)
        });
        if waits || track.is_asked {
            return false;
        }
        // One that was never ordered has begun none; else the number must be known.
        let is_new = self.is_first && track.given.is_none();
        let expected = track.orders_begun.or(is_new.then_some(0));
        if expected.is_none() {
            actions.extend(self.ask(id, now, Millis(retry.0 / 2)));
            return false;
        }
        track.given = Some(GivenOrder {
            order: order.clone(),
            at: now,
            is_answered: false,
        });
        let request = OrderRequest {
            target: track.target(),
            order,
            fence: self.fence,
            expected,
        };
        actions.push(GroupAction::Order(request));
        true
    }

    pub(crate) fn ask(&mut self, id: &UpstreamId, now: Millis, gap: Millis) -> Option<GroupAction> {
        let track = self.tracks.get_mut(id)?;
        let is_recent = track.asked_at.is_some_and(|at| now.since(at) < gap);
        if track.is_asked || is_recent || track.is_gone {
            return None;
        }
        track.is_asked = true;
        track.asked_at = Some(now);
        Some(GroupAction::Query(track.target()))
    }

    /// Asks those that were silent, or fell out of the directory, whether they are back.
    pub(crate) fn ask_silent(&mut self, now: Millis, actions: &mut Vec<GroupAction>) {
        let limit = self.options.silent_limit;
        let due: Vec<(UpstreamId, Millis)> = self
            .tracks
            .iter()
            .filter(|(_, track)| !track.is_gone)
            .filter(|(_, track)| track.silent > 0 || !track.is_listed)
            .map(|(id, track)| {
                // The second question follows at once: a group may be standing still.
                let is_doubtful = (1..limit).contains(&track.silent);
                let gap = match is_doubtful {
                    true => SECOND_QUESTION,
                    false => self.options.ask_again,
                };
                (id.clone(), gap)
            })
            .collect();
        for (id, gap) in due {
            actions.extend(self.ask(&id, now, gap));
        }
        // What is neither listed nor answers is forgotten; a return comes with a new entry.
        self.tracks
            .retain(|_, track| track.is_listed || track.silent < limit * 4);
    }
}
