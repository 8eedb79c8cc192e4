//! Which version the engine is to hold.

use std::time::Duration;

use sequoiahold_core::{
    direct::{platform::Codec, view::View},
    ids::ModelId,
    time::Time,
};

use super::{Loader, sources};

/// Time between two looks at what is wanted.
const LOOK: Duration = Duration::from_millis(20);

/// A version that the engine is to hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Goal {
    /// The model.
    pub(super) model: ModelId,
    /// The version.
    pub(super) version: u64,
    /// When it became known.
    pub(super) since: Time,
    /// The version that the engine holds.
    pub(super) held: Option<u64>,
}

/// Returns the next version to bring, or `None` where the engine holds it and so does the shelf.
pub(super) async fn find<D: Codec>(loader: &Loader<D>) -> anyhow::Result<Option<Goal>> {
    let Some(model) = model(loader) else { return Ok(None) };
    let report = loader.engine.report().await?;
    let held = report.versions.get(&model).copied();
    if report.busy {
        return Ok(None);
    }
    let wanted = wanted(&loader.node.view.borrow(), &model, held);
    let (version, since) = match (wanted, held) {
        (Some(wanted), _) => wanted,
        (None, Some(held)) => (held, Time::default()),
        (None, None) => (sources::list(loader, &model, None).await?.version, Time::default()),
    };
    let stocked = loader.shelf.list(&model, version).is_some();
    let done = held == Some(version) && stocked;
    Ok((!done).then_some(Goal { model, version, since, held }))
}

/// Returns once a newer version than the goal is wanted.
pub(super) async fn overtaken<D: Codec>(loader: &Loader<D>, goal: &Goal) {
    loop {
        actix_rt::time::sleep(LOOK).await;
        let view = loader.node.view.borrow();
        if view.target(&goal.model).is_some_and(|wanted| wanted.newest() > goal.version) {
            return;
        }
    }
}

/// Returns the model that the engines of the service hold.
fn model<D: Codec>(loader: &Loader<D>) -> Option<ModelId> {
    let view = loader.node.view.borrow();
    let service = view.catalog()?.services.get(&loader.settings.service)?;
    service.engine.as_ref()?.models.first().cloned()
}

/// Returns the version that operators want, else the newest one that an engine is known to hold.
fn wanted(view: &View, model: &ModelId, held: Option<u64>) -> Option<(u64, Time)> {
    if let Some(wanted) = view.target(model) {
        return Some((wanted.newest(), wanted.rollout_start(held)));
    }
    let held = view.endpoints().values().filter_map(|endpoint| endpoint.loaded_model(model));
    held.map(|loaded| (loaded.version, Time::default())).max()
}
