//! Relays: their registration with all voters, and the leases that a voter grants them.
//!
//! Each voter has its own [`RelayRegistry`](sedgerun_replication::relay::RelayRegistry), which decides which
//! relays are live.

use crate::environment::now;
use crate::member::Member;
use crate::peer_connection::{PeerConnection, RequestError};
use crate::types::{PeerRequest, PeerResponse, RelayRegistration};
use futures_util::future::join_all;
use sedgerun_replication::follow::Peer;
use sedgerun_replication::greeting::Greeting;
use sedgerun_replication::relay::{REGISTRATION_INTERVAL_MS, Relay, RelayStatus};
use sedgerun_replication::subscribe::LegacyPeers;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval between registrations.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(REGISTRATION_INTERVAL_MS);
/// Timeout of a registration request.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(1000);

/// The state of a relay's registrations with the voters.
#[derive(Default)]
struct Registrations {
    /// Connections by the voter's name.
    connections: BTreeMap<String, PeerConnection>,
    /// Voters of earlier versions, which do not know registrations.
    legacy: LegacyPeers,
    /// The rejection that was logged last; `None` after a successful registration was logged, and at the
    /// start.
    logged_rejection: Option<String>,
}

impl Member {
    /// Registers this head, which must be a relay, with all voters periodically. Never returns.
    pub async fn run_registration(&self) {
        let mut registrations = Registrations::default();
        loop {
            // Registers only after the first update, so that voters redirect no follower to a relay without
            // state.
            if self.path_and_age().1.is_some() {
                self.register_with_all(&mut registrations).await;
            }
            tokio::time::sleep(REGISTRATION_INTERVAL).await;
        }
    }

    async fn register_with_all(&self, registrations: &mut Registrations) {
        let registration = RelayRegistration {
            region: self.settings.region.clone(),
            followers: u32::try_from(self.followers().count(now())).unwrap_or(u32::MAX),
        };
        let request = PeerRequest::RegisterRelay(registration);
        let voters = self.voters().by_store.into_values();
        let attempts = voters.map(|voter| {
            let connection = registrations.connections.remove(&voter.head);
            self.register_with(voter, connection, &request, &registrations.legacy)
        });
        let attempts: Vec<_> = attempts.collect();
        let mut rejection = None;
        for (voter, outcome) in join_all(attempts).await {
            match outcome {
                RegistrationOutcome::Granted(connection) => {
                    registrations.connections.insert(voter, connection);
                }
                RegistrationOutcome::Rejected(why) => rejection = Some(format!("{voter}: {why}")),
                RegistrationOutcome::UnknownRequest(incarnation) => {
                    registrations.legacy.remember(now(), &voter, incarnation);
                }
                RegistrationOutcome::NoResponse => {}
            }
        }
        registrations.log_change(rejection);
    }

    async fn register_with(
        &self,
        voter: Peer,
        connection: Option<PeerConnection>,
        request: &PeerRequest,
        legacy: &LegacyPeers,
    ) -> (String, RegistrationOutcome) {
        let Some(to) = self.network.route(&voter.head, &voter.address) else {
            return (voter.head, RegistrationOutcome::NoResponse);
        };
        let connection = match connection {
            Some(connection) => Ok(connection),
            None => PeerConnection::dial(&self.network, to).await,
        };
        let Ok(mut connection) = connection else { return (voter.head, RegistrationOutcome::NoResponse) };
        let incarnation = connection.incarnation();
        if legacy.contains(now(), &voter.head, incarnation) {
            return (voter.head, RegistrationOutcome::NoResponse);
        }
        let outcome = match connection.request(request, REGISTRATION_TIMEOUT).await {
            Ok(PeerResponse::Registered) => RegistrationOutcome::Granted(connection),
            Ok(PeerResponse::Rejected(why)) => RegistrationOutcome::Rejected(why),
            Err(RequestError::ClosedByPeer) => RegistrationOutcome::UnknownRequest(incarnation),
            Ok(_) | Err(RequestError::Io(_)) => RegistrationOutcome::NoResponse,
        };
        (voter.head, outcome)
    }

    /// Grants or renews the lease of the relay that sent this greeting.
    pub fn register_relay(&self, registration: RelayRegistration, from: &Greeting) -> PeerResponse {
        let Some(store) = from.store else {
            return PeerResponse::Rejected("only a head with a store can be a relay".into());
        };
        if !self.votes() {
            return PeerResponse::Rejected("this head does not vote, so it registers no relays".into());
        }
        let relay = Relay {
            peer: Peer { head: from.head.clone(), address: from.address.clone() },
            region: registration.region,
            zone: from.zone.clone(),
            store,
            incarnation: from.incarnation.count,
        };
        let status = RelayStatus { relay, followers: registration.followers };
        match self.voting_registry().register(now(), status) {
            Ok(()) => PeerResponse::Registered,
            Err(why) => PeerResponse::Rejected(why.to_string()),
        }
    }
}

impl Registrations {
    /// Logs a rejection, or that the registrations are no longer rejected, if that has changed since the last
    /// log line.
    fn log_change(&mut self, rejection: Option<String>) {
        if rejection == self.logged_rejection {
            return;
        }
        match &rejection {
            Some(why) => tracing::warn!("fleet: registration as a relay was rejected, will retry: {why}"),
            None => tracing::info!("fleet: registration as a relay is no longer rejected"),
        }
        self.logged_rejection = rejection;
    }
}

/// The outcome of a registration with one voter.
enum RegistrationOutcome {
    /// The lease is granted.
    Granted(PeerConnection),
    /// The registration is rejected, for this reason.
    Rejected(String),
    /// The voter, in this incarnation, does not know registrations.
    UnknownRequest(u64),
    /// The voter cannot be reached, did not respond, or is known not to support registrations.
    NoResponse,
}
