//! Determines the version that the engine must hold.

use std::time::Duration;

use sequoiahold_core::{
    direct::{platform::Codec, view::View},
    ids::ModelId,
    time::Time,
};

use super::{Loader, sources};

/// Interval between checks for a newer target version.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A version that the engine must hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Target {
    /// The model.
    pub(super) model: ModelId,
    /// The target version.
    pub(super) version: u64,
    /// The start of its rollout, 0 if unknown.
    pub(super) rollout_start: Time,
    /// The version that the engine holds now.
    pub(super) held: Option<u64>,
}

/// Returns the next version to deploy, or `None` if no model is configured, the engine is busy, or
/// the engine holds the target version and the chunk store its chunk list.
pub(super) async fn find<C: Codec>(loader: &Loader<C>) -> anyhow::Result<Option<Target>> {
    let Some(model) = served_model(loader) else { return Ok(None) };
    let report = loader.engine.probe().await?;
    let held = report.versions.get(&model).copied();
    if report.busy {
        return Ok(None);
    }
    let wanted = wanted_version(&loader.node.view.borrow(), &model, held);
    let (version, rollout_start) = match (wanted, held) {
        (Some(wanted), _) => wanted,
        (None, Some(held)) => (held, Time::default()),
        (None, None) => (sources::chunk_list(loader, &model, None).await?.version, Time::default()),
    };
    let stored = loader.chunk_store.list(&model, version).is_some();
    let done = held == Some(version) && stored;
    Ok((!done).then_some(Target { model, version, rollout_start, held }))
}

/// Waits until operators announce a newer version than `target`.
pub(super) async fn wait_until_superseded<C: Codec>(loader: &Loader<C>, target: &Target) {
    loop {
        actix_rt::time::sleep(POLL_INTERVAL).await;
        let view = loader.node.view.borrow();
        if view.target(&target.model).is_some_and(|wanted| wanted.newest() > target.version) {
            return;
        }
    }
}

/// Returns the model that the engines of the service serve.
fn served_model<C: Codec>(loader: &Loader<C>) -> Option<ModelId> {
    let view = loader.node.view.borrow();
    let service = view.catalog()?.services.get(&loader.settings.service)?;
    service.engine.as_ref()?.models.first().cloned()
}

/// Returns the version set by operators, else the newest one that an engine is known to hold, with
/// the start of its rollout.
fn wanted_version(view: &View, model: &ModelId, held: Option<u64>) -> Option<(u64, Time)> {
    if let Some(wanted) = view.target(model) {
        return Some((wanted.newest(), wanted.rollout_start(held)));
    }
    let loaded = view.endpoints().values().filter_map(|endpoint| endpoint.loaded_model(model));
    loaded.map(|loaded| (loaded.version, Time::default())).max()
}
