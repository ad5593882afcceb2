use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Instant};

use medlarspool_membership::{MemberView, UpstreamState};
use medlarspool_proto::Datagram;
use medlarspool_types::{ConfigVersion, InstanceId};
use serde_json::json;

use crate::{datagram_socket::DatagramSocket, shared::Shared};

/// Which version each daemon was last seen to serve by, for an operator's glance at the fleet.
///
/// The head rides on every datagram, so this costs nothing until someone asks; then each member is
/// asked once for a bare datagram.
pub(crate) struct FleetHeads {
    shared: Arc<Shared>,
    sightings: HashMap<InstanceId, Sighting>,
    socket: Arc<DatagramSocket>,
}

/// When which version was seen.
struct Sighting {
    seen_at: Instant,
    version: ConfigVersion,
}

impl FleetHeads {
    pub(crate) fn new(shared: Arc<Shared>, socket: Arc<DatagramSocket>) -> Self {
        Self {
            shared,
            sightings: HashMap::new(),
            socket,
        }
    }

    /// Asks each living member for its head.
    pub(crate) fn ask<'view>(&self, members: impl Iterator<Item = MemberView<'view>>) {
        for member in members.filter(|member| member.state.is_living()) {
            self.send(member.announcement.member.control_address, true);
        }
    }

    /// Notes the head that a datagram carries and answers it if it asks for this daemon's.
    pub(crate) fn note(&mut self, address: SocketAddr, sender: &InstanceId, datagram: &Datagram) {
        let sighting = Sighting {
            seen_at: self.shared.clock.now(),
            version: datagram.head().version,
        };
        self.sightings.insert(sender.clone(), sighting);
        if datagram.head_wanted {
            self.send(address, false);
        }
    }

    /// Returns what is known of the whole fleet, and forgets who is no member any more.
    pub(crate) fn status<'view>(
        &mut self,
        members: impl Iterator<Item = MemberView<'view>>,
    ) -> serde_json::Value {
        let now = self.shared.clock.now();
        let own = self.shared.config_head().version;
        let mut known = HashMap::new();
        let mut newest = own;
        let mut instances = Vec::new();
        for member in members {
            let words = member.announcement;
            let instance = &words.member.instance;
            let sighting = if *instance == self.shared.settings.instance {
                Some(Sighting {
                    seen_at: now,
                    version: own,
                })
            } else {
                self.sightings.remove(instance)
            };
            let version = sighting
                .as_ref()
                .map_or(ConfigVersion::NONE, |seen| seen.version);
            let heard_ms_ago = sighting
                .as_ref()
                .map(|seen| now.saturating_duration_since(seen.seen_at).as_millis());
            newest = newest.max(version);
            instances.push(json!({
                "availability_zone": words.member.availability_zone,
                "heard_ms_ago": heard_ms_ago.unwrap_or(u128::from(u32::MAX)),
                "instance": instance,
                "state": member.state.to_string(),
                "upstream": upstream(words.upstream),
                "version": version,
            }));
            if let Some(sighting) = sighting {
                known.insert(instance.clone(), sighting);
            }
        }
        self.sightings = known;
        json!({ "instances": instances, "newest": newest })
    }

    fn send(&self, address: SocketAddr, head_wanted: bool) {
        let head = self.shared.spread.load().announced;
        let instance = &self.shared.settings.instance;
        let mut datagram = Datagram::from_sender(instance, self.shared.incarnation, head);
        datagram.head_wanted = head_wanted;
        self.socket.send(address, &datagram.seal(&self.shared.key));
    }
}

fn upstream(state: UpstreamState) -> &'static str {
    match state {
        UpstreamState::Absent => "absent",
        UpstreamState::Lapsed => "lapsed",
        UpstreamState::Leaving => "leaving",
        UpstreamState::Refusing => "refusing",
        UpstreamState::Serving => "serving",
    }
}
