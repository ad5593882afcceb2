use std::{
    cell::RefCell,
    collections::VecDeque,
    panic::{AssertUnwindSafe, catch_unwind, resume_unwind},
    rc::Rc,
    time::{Duration, Instant},
};

use stakker::{ActorOwn, CX, Stakker, actor, ret_nop};
use tokio::sync::Notify;

use crate::{app::App, contain::contain, node::Node, release::Release};

/// The longest sleep of the timer loop.
const MAX_TIMER_WAIT: Duration = Duration::from_mins(1);

/// Owns the [`Node`] actor, gives synchronous access to it, and runs its timers.
///
/// Nothing that runs inside the core may call [`Core::with`] again. Guards may be dropped there: what they release is
/// queued then.
pub(crate) struct Core {
    node: ActorOwn<Node>,
    /// What guards released while the core was in use.
    releases: RefCell<VecDeque<Release>>,
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
            releases: RefCell::default(),
            stakker: RefCell::new(stakker),
            timers_changed: Notify::new(),
        }
    }

    /// Starts the actor's timers.
    pub(crate) fn start(&self, app: Rc<App>) {
        self.with(|node, cx| node.start(cx, app));
        self.timers_changed.notify_one();
    }

    /// Calls a function on the actor synchronously and returns its result.
    ///
    /// Wakes the timer loop if the call set a timer that is due before all others. A panic of the function unwinds to
    /// the caller and leaves the core usable.
    ///
    /// # Panics
    ///
    /// Panics if the core is in use, which is a fault of the code that runs in it.
    #[track_caller]
    pub(crate) fn with<R>(&self, call: impl FnOnce(&mut Node, CX![Node]) -> R) -> R {
        let Ok(mut stakker) = self.stakker.try_borrow_mut() else {
            panic!("the core is entered while it is in use");
        };
        let previous_expiry = stakker.next_expiry();
        self.settle(&mut stakker);
        // A panic has to stop here, or guards that it drops would find the core in use and nothing would apply what
        // they release.
        let result = catch_unwind(AssertUnwindSafe(|| self.node.query(&mut stakker, call)));
        self.settle(&mut stakker);
        self.wake_if_earlier(previous_expiry, &mut stakker);
        drop(stakker);
        match result {
            Ok(result) => result.expect("the node lives as long as its core"),
            Err(panic) => resume_unwind(panic),
        }
    }

    /// Gives back what a dropped guard held: at once, or if the core is in use, before the call that uses it returns.
    pub(crate) fn release(&self, release: Release) {
        self.releases.borrow_mut().push_back(release);
        if let Ok(mut stakker) = self.stakker.try_borrow_mut() {
            let previous_expiry = stakker.next_expiry();
            self.settle(&mut stakker);
            self.wake_if_earlier(previous_expiry, &mut stakker);
        }
    }

    /// Runs the timers that are due and applies the queued releases, until there is nothing of either.
    fn settle(&self, stakker: &mut Stakker) {
        loop {
            stakker.run(Instant::now(), false);
            let next = self.releases.borrow_mut().pop_front();
            let Some(release) = next else { return };
            // Guards are dropped in unwinding, too, where a further panic would abort the process.
            contain(|| {
                self.node
                    .query(stakker, |node, cx| node.apply_release(cx, release))
            });
        }
    }

    fn wake_if_earlier(&self, previous_expiry: Option<Instant>, stakker: &mut Stakker) {
        let is_earlier = match (previous_expiry, stakker.next_expiry()) {
            (Some(previous_expiry), Some(new_expiry)) => new_expiry < previous_expiry,
            (None, Some(_)) => true,
            (_, None) => false,
        };
        if is_earlier {
            self.timers_changed.notify_one();
        }
    }

    /// Runs the actor's timers for ever.
    pub(crate) async fn run_timers(&self) {
        loop {
            let wait = {
                let mut stakker = self.stakker.borrow_mut();
                self.settle(&mut stakker);
                stakker.next_wait_max(Instant::now(), MAX_TIMER_WAIT, false)
            };
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.timers_changed.notified() => {}
            }
        }
    }
}
