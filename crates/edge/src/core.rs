use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use stakker::{ActorOwn, CX, Stakker, actor, call, ret_nop};
use tokio::sync::Notify;

use crate::{app::App, node::Node};

/// The longest sleep of the timer loop.
const MAX_TIMER_WAIT: Duration = Duration::from_mins(1);

/// Owns the [`Node`] actor, gives synchronous access to it, and runs its timers.
pub(crate) struct Core {
    node: ActorOwn<Node>,
    stakker: RefCell<Stakker>,
    timers_changed: Notify,
}

impl Core {
    pub(crate) fn new(node: Node) -> Self {
        let mut stakker = Stakker::new(Instant::now());
        let actor_owner = actor!(stakker, Node::init(node), ret_nop!());
        stakker.run(Instant::now(), false);
        Self {
            node: actor_owner,
            stakker: RefCell::new(stakker),
            timers_changed: Notify::new(),
        }
    }

    /// Starts the actor's timers.
    pub(crate) fn start(&self, app: Rc<App>) {
        let mut stakker = self.stakker.borrow_mut();
        call!([self.node, stakker], start(app));
        stakker.run(Instant::now(), false);
        drop(stakker);
        self.timers_changed.notify_one();
    }

    /// Calls a function on the actor synchronously and returns its result.
    ///
    /// Wakes the timer loop if the call set a timer that is due before all others.
    pub(crate) fn with<R>(&self, call: impl FnOnce(&mut Node, CX![Node]) -> R) -> R {
        let mut stakker = self.stakker.borrow_mut();
        let previous_expiry = stakker.next_expiry();
        stakker.run(Instant::now(), false);
        let result = self
            .node
            .query(&mut stakker, call)
            .expect("the node lives as long as its core");
        stakker.run(Instant::now(), false);
        let is_earlier = match (previous_expiry, stakker.next_expiry()) {
            (Some(previous_expiry), Some(new_expiry)) => new_expiry < previous_expiry,
            (None, Some(_)) => true,
            (_, None) => false,
        };
        if is_earlier {
            self.timers_changed.notify_one();
        }
        result
    }

    /// Runs the actor's timers for ever.
    pub(crate) async fn run_timers(&self) {
        loop {
            let wait = {
                let mut stakker = self.stakker.borrow_mut();
                stakker.run(Instant::now(), false);
                stakker.next_wait_max(Instant::now(), MAX_TIMER_WAIT, false)
            };
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.timers_changed.notified() => {}
            }
        }
    }
}
