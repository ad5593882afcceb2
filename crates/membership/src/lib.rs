//! Membership of the fleet: a SWIM-like protocol by which daemons discover each other, learn of
//! upstreams and detect failed and leaving members.
//!
//! [`Membership`] is a state machine without sockets, threads or clocks: the daemon passes it
//! events with the current time and executes the actions that it returns. See
//! `docs/design/membership.md`.

mod accusation;
mod accusation_kind;
mod announced_state;
mod announcement;
mod bucket_set;
mod datagram_space;
mod detailing;
mod gossip_queue;
mod gossiping;
mod interest;
mod lease;
mod living_list;
mod local_health;
mod member;
mod member_state;
mod member_update;
mod member_view;
mod membership;
mod membership_action;
mod membership_counters;
mod membership_event;
mod membership_settings;
mod merge;
mod message;
mod probe;
mod prober;
mod probing;
mod receiving;
mod record;
mod repair;
mod repairing;
mod seed_row;
mod seed_schedule;
mod seeding;
mod service_key;
mod suspicion;
mod token_bucket;
mod update_key;
mod upstream_announcement;
mod upstream_detail;
mod upstream_state;
mod upstream_view;
mod view;

pub use crate::{
    accusation::Accusation, accusation_kind::AccusationKind, announced_state::AnnouncedState,
    announcement::Announcement, bucket_set::BucketSet, member::Member, member_state::MemberState,
    member_update::MemberUpdate, member_view::MemberView, membership::Membership,
    membership_action::MembershipAction, membership_counters::MembershipCounters,
    membership_event::MembershipEvent, membership_settings::MembershipSettings, message::Message,
    seed_row::SeedRow, service_key::ServiceKey, upstream_announcement::UpstreamAnnouncement,
    upstream_detail::UpstreamDetail, upstream_state::UpstreamState, upstream_view::UpstreamView,
};
