//! Keeping up with the store: one task for each kind of objects.

use std::time::Instant;

use tokio::time::sleep_until;
use valvestage_platform::catalogue::{
    BACKEND_KIND, CONFIGURATION_KIND, instance_of, read_backend, read_routes,
};
use valvestage_platform::messages::WireObject;
use valvestage_platform::{PlatformError, StoreClient};
use valvestage_policy::steering::store_follower::FollowerNews;
use valvestage_policy::steering::{FollowerStep, StoreFollower, StoreReply};

use crate::updates::{SteeringUpdate, UpdateSender};

/// `follow_routes` keeps the configuration up to date.
pub async fn follow_routes(client: StoreClient, updates: UpdateSender) {
    let mut follower = StoreFollower::default();
    let read = |object: &WireObject| logged(read_routes(object));

    loop {
        let reply = step(&client, CONFIGURATION_KIND, &follower, read).await;
        for news in follower.on_reply(reply, Instant::now()) {
            // A configuration stays in force until another one comes.
            if let FollowerNews::Put(_, routes) = news {
                updates.send(SteeringUpdate::Routes(routes));
            }
        }
    }
}

/// `follow_backends` keeps the backend servers up to date.
pub async fn follow_backends(client: StoreClient, updates: UpdateSender) {
    let mut follower = StoreFollower::default();
    let read = |object: &WireObject| logged(read_backend(object, Instant::now()));

    loop {
        let was_complete = follower.is_complete();
        let reply = step(&client, BACKEND_KIND, &follower, read).await;
        for news in follower.on_reply(reply, Instant::now()) {
            match news {
                FollowerNews::Put(_, entry) => updates.send(SteeringUpdate::Backend(entry)),
                FollowerNews::Gone(name) => {
                    if let Some(instance) = instance_of(&name) {
                        updates.send(SteeringUpdate::BackendGone(instance));
                    }
                }
            }
        }
        if follower.is_complete() && !was_complete {
            updates.send(SteeringUpdate::DirectoryComplete);
        }
    }
}

/// Carries out what the follower wants next.
async fn step<T>(
    client: &StoreClient,
    kind: &'static str,
    follower: &StoreFollower,
    read: impl Fn(&WireObject) -> Option<T>,
) -> StoreReply<T> {
    let mut next = follower.next_step(Instant::now());
    while let FollowerStep::Pause { until } = next {
        sleep_until(until.into()).await;
        next = follower.next_step(Instant::now());
    }

    let result = match next {
        FollowerStep::List { after } => client.list(kind, after.as_deref(), read).await,
        FollowerStep::Watch { revision, wait } => client.watch(kind, revision, wait, read).await,
        FollowerStep::Pause { .. } => return StoreReply::Failed,
    };
    result.unwrap_or_else(|error| {
        log::warn!(kind; "{error}");
        StoreReply::Failed
    })
}

fn logged<T>(result: Result<T, PlatformError>) -> Option<T> {
    result.map_err(|error| log::error!("{error}")).ok()
}
