use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Instant};

use medlarspool_membership::{MemberView, UpstreamState};
use medlarspool_proto::Datagram;
use medlarspool_types::{ConfigVersion, InstanceId};
use serde_json::json;

use crate::{datagram_socket::DatagramSocket, shared_state::SharedState};

/// The configuration version that each daemon was last seen to have in use, for the status page.
///
/// Every datagram carries its sender's head, so this sends nothing until the page is requested. Then each
/// living member is asked once for a datagram without any other content.
pub(crate) struct FleetHeads {
    seen_versions: HashMap<InstanceId, SeenVersion>,
    shared: Arc<SharedState>,
    socket: Arc<DatagramSocket>,
}

/// The version in a daemon's last datagram.
struct SeenVersion {
    seen_at: Instant,
    version: ConfigVersion,
}

impl FleetHeads {
    pub(crate) fn new(shared: Arc<SharedState>, socket: Arc<DatagramSocket>) -> Self {
        Self {
            seen_versions: HashMap::new(),
            shared,
            socket,
        }
    }

    /// Asks each living member for its head.
    pub(crate) fn request<'view>(&self, members: impl Iterator<Item = MemberView<'view>>) {
        for member in members.filter(|member| member.state.is_living()) {
            self.send_datagram(member.announcement.member.control_address, true);
        }
    }

    /// Records the head that a datagram carries, and answers with this daemon's if the datagram requests it.
    pub(crate) fn record(&mut self, address: SocketAddr, sender: &InstanceId, datagram: &Datagram) {
        let seen_version = SeenVersion {
            seen_at: self.shared.clock.now(),
            version: datagram.head().version,
        };
        self.seen_versions.insert(sender.clone(), seen_version);
        if datagram.head_wanted {
            self.send_datagram(address, false);
        }
    }

    /// Returns the version of each member and the newest of them, and removes the records of former members.
    /// A member of which no datagram arrived gets version 0 and an age of `u32::MAX` ms.
    pub(crate) fn status<'view>(
        &mut self,
        members: impl Iterator<Item = MemberView<'view>>,
    ) -> serde_json::Value {
        let now = self.shared.clock.now();
        let own_version = self.shared.config_head().version;
        let mut retained_versions = HashMap::new();
        let mut newest_version = own_version;
        let mut instances = Vec::new();
        for member in members {
            let announcement = member.announcement;
            let instance = &announcement.member.instance;
            let seen_version = if *instance == self.shared.settings.instance {
                Some(SeenVersion {
                    seen_at: now,
                    version: own_version,
                })
            } else {
                self.seen_versions.remove(instance)
            };
            let version = seen_version
                .as_ref()
                .map_or(ConfigVersion::NONE, |seen_version| seen_version.version);
            let seen_ms_ago = seen_version.as_ref().map(|seen_version| {
                now.saturating_duration_since(seen_version.seen_at)
                    .as_millis()
            });
            newest_version = newest_version.max(version);
            instances.push(json!({
                "availability_zone": announcement.member.availability_zone,
                "heard_ms_ago": seen_ms_ago.unwrap_or(u128::from(u32::MAX)),
                "instance": instance,
                "state": member.state.to_string(),
                "upstream": upstream_state(announcement.upstream),
                "version": version,
            }));
            if let Some(seen_version) = seen_version {
                retained_versions.insert(instance.clone(), seen_version);
            }
        }
        self.seen_versions = retained_versions;
        json!({ "instances": instances, "newest": newest_version })
    }

    fn send_datagram(&self, address: SocketAddr, head_wanted: bool) {
        let head = self.shared.spread.load().announced;
        let instance = &self.shared.settings.instance;
        let mut datagram = Datagram::from_sender(instance, self.shared.incarnation, head);
        datagram.head_wanted = head_wanted;
        self.socket.send(address, &datagram.seal(&self.shared.key));
    }
}

fn upstream_state(state: UpstreamState) -> &'static str {
    match state {
        UpstreamState::Absent => "absent",
        UpstreamState::Lapsed => "lapsed",
        UpstreamState::Leaving => "leaving",
        UpstreamState::Refusing => "refusing",
        UpstreamState::Serving => "serving",
    }
}
