//! Relays: their registration with all voters, and the leases that a voter grants them.
//!
//! Which relays are live is decided by [`RelayRegistry`](sedgerun_replication::relay::RelayRegistry), which each voter
//! has for itself.

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

/// Time between two registrations.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(REGISTRATION_INTERVAL_MS);
/// Time for a voter to answer a registration.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(1000);

/// Connections of a relay to the voters, by name.
#[derive(Default)]
struct Registrations {
    connections: BTreeMap<String, PeerConnection>,
    /// Voters of earlier versions, which grant no leases.
    legacy: LegacyPeers,
    /// The last refusal that was logged.
    logged_refusal: Option<String>,
}

impl Member {
    /// Registers this head, which must be a relay, with all voters, for as long as the future is polled.
    pub async fn run_registration(&self) {
        let mut registrations = Registrations::default();
        loop {
            // No follower is to be redirected to a relay that has nothing to serve yet.
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
        let mut refusal = None;
        for (voter, outcome) in join_all(attempts).await {
            match outcome {
                RegistrationOutcome::Granted(connection) => {
                    registrations.connections.insert(voter, connection);
                }
                RegistrationOutcome::Refused(why) => refusal = Some(format!("{voter}: {why}")),
                RegistrationOutcome::UnknownRequest(incarnation) => {
                    registrations.legacy.remember(now(), &voter, incarnation);
                }
                RegistrationOutcome::NoAnswer => {}
            }
        }
        registrations.log_change(refusal);
    }

    async fn register_with(
        &self,
        voter: Peer,
        connection: Option<PeerConnection>,
        request: &PeerRequest,
        legacy: &LegacyPeers,
    ) -> (String, RegistrationOutcome) {
        let Some(to) = self.links.route(&voter.head, &voter.address) else {
            return (voter.head, RegistrationOutcome::NoAnswer);
        };
        let connection = match connection {
            Some(connection) => Ok(connection),
            None => PeerConnection::dial(&self.links, to).await,
        };
        let Ok(mut connection) = connection else { return (voter.head, RegistrationOutcome::NoAnswer) };
        let incarnation = connection.incarnation();
        if legacy.contains(now(), &voter.head, incarnation) {
            return (voter.head, RegistrationOutcome::NoAnswer);
        }
        let outcome = match connection.request(request, REGISTRATION_TIMEOUT).await {
            Ok(PeerResponse::Registered) => RegistrationOutcome::Granted(connection),
            Ok(PeerResponse::Rejected(why)) => RegistrationOutcome::Refused(why),
            Err(RequestError::Hangup) => RegistrationOutcome::UnknownRequest(incarnation),
            Ok(_) | Err(RequestError::Io(_)) => RegistrationOutcome::NoAnswer,
        };
        (voter.head, outcome)
    }

    /// Grants or renews the lease of the relay that sent this greeting.
    pub fn register_relay(&self, registration: RelayRegistration, from: &Greeting) -> PeerResponse {
        let Some(store) = from.store else {
            return PeerResponse::Rejected("a relay has a store".into());
        };
        if !self.votes() {
            return PeerResponse::Rejected("does not vote".into());
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
    /// Logs a refusal, or that there is none any more, once.
    fn log_change(&mut self, refusal: Option<String>) {
        if refusal == self.logged_refusal {
            return;
        }
        match &refusal {
            Some(why) => tracing::warn!("fleet: not registered as a relay: {why}"),
            None => tracing::info!("fleet: registered as a relay"),
        }
        self.logged_refusal = refusal;
    }
}

/// The outcome of a registration with one voter.
enum RegistrationOutcome {
    /// The lease is granted.
    Granted(PeerConnection),
    /// It is refused, for this reason.
    Refused(String),
    /// The voter, in this incarnation, does not know the request.
    UnknownRequest(u64),
    /// The voter cannot be reached, or did not answer.
    NoAnswer,
}
