//! Determines the version that the engine must hold.

use std::time::Duration;

use anyhow::Context as _;
use sequoiahold_core::{
    direct::{engine_load::LoadEvidence, platform::Codec, version_choice::Candidate},
    ids::ModelId,
    time::Time,
};

use super::{Loader, report, sources};

/// Interval between checks for a newer target version.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Who says that a version is the one to hold; the loader logs the variant names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum VersionSource {
    /// Operators have announced it.
    Announced,
    /// The engine holds it, and no other one is announced.
    Held,
    /// An entry of the list claims it, also where no source has it.
    Claimed,
    /// The origin has named it as its newest.
    Named,
}

/// A version that the engine must hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Target {
    /// The model.
    pub(super) model: ModelId,
    /// The version to deploy.
    pub(super) version: u64,
    /// The newest version; an earlier one is deployed to replace a corrupt copy of it.
    pub(super) newest: u64,
    /// Who says that `newest` is the one to hold.
    pub(super) source: VersionSource,
    /// The start of its rollout, 0 if unknown.
    pub(super) rollout_start: Time,
    /// The version that the engine holds now.
    pub(super) held: Option<u64>,
}

/// Returns the next version to deploy, or `None` if no model is configured, the engine is busy, or
/// the engine holds the target version and the chunk store its chunk list.
pub(super) async fn find<C: Codec>(loader: &Loader<C>) -> anyhow::Result<Option<Target>> {
    let Some(model) = served_model(loader) else { return Ok(None) };
    let report = loader.probe_engine().await?;
    let held = report.versions.get(&model).copied();
    if report.busy {
        return Ok(None);
    }
    let announced = {
        let view = loader.node.view.borrow();
        view.target(&model).map(|target| (target.newest(), target.rollout_start(held)))
    };
    if announced.is_some() || held.is_some() {
        loader.choice.borrow_mut().settle();
    }
    let (newest, source, rollout_start) = match (announced, held) {
        (Some((newest, start)), _) => (newest, VersionSource::Announced, start),
        (None, Some(held)) => (held, VersionSource::Held, Time::default()),
        (None, None) => {
            let (version, source) = choose_version(loader, &model).await?;
            (version, source, Time::default())
        }
    };
    let mut target = Target { model, version: newest, newest, source, rollout_start, held };
    if loader.evidence() == Some(LoadEvidence::Open) {
        report::judge_found_load(loader, &target, &report).await?;
    }
    if held.is_some() && loader.evidence() == Some(LoadEvidence::Doubtful) {
        // No gateway uses the engine, so that nothing is gained by waiting.
        target.rollout_start = Time::default();
        if held == Some(newest) {
            // An engine ignores an order for the version that it holds.
            let replacement = replacement(loader, &target.model, newest);
            target.version = replacement.context("no version to replace it")?;
            return Ok(Some(target));
        }
    }
    let stored = loader.chunk_store.list(&target.model, newest).is_some();
    let done = held == Some(newest) && stored;
    Ok((!done).then_some(target))
}

/// Returns a version to load in between, so that the engine loads `version` again.
fn replacement<C: Codec>(loader: &Loader<C>, model: &ModelId, version: u64) -> Option<u64> {
    let previous = || version.checked_sub(1).filter(|previous| *previous > 0);
    loader.chunk_store.version_before(model, version).or_else(previous)
}

/// Waits until operators announce another version that replaces `target`, and no order for it is
/// open.
pub(super) async fn wait_until_superseded<C: Codec>(loader: &Loader<C>, target: &Target) {
    loop {
        actix_rt::time::sleep(POLL_INTERVAL).await;
        if loader.proof.get().has_open_order() {
            continue;
        }
        let view = loader.node.view.borrow();
        if view.target(&target.model).is_some_and(|wanted| target.is_superseded(wanted.newest())) {
            return;
        }
    }
}

impl Target {
    /// Returns whether `announced` replaces this target; versions only rise, but one that nobody has
    /// announced may be higher than they are.
    fn is_superseded(&self, announced: u64) -> bool {
        match self.source {
            VersionSource::Announced | VersionSource::Held => announced > self.newest,
            VersionSource::Claimed | VersionSource::Named => announced != self.newest,
        }
    }
}

/// Returns the model that the engines of the service serve.
fn served_model<C: Codec>(loader: &Loader<C>) -> Option<ModelId> {
    let view = loader.node.view.borrow();
    let service = view.catalog()?.services.get(&loader.settings.service)?;
    service.engine.as_ref()?.models.first().cloned()
}

/// Returns a version for an engine that holds none where none is announced; fails if only the origin
/// can name one and does not answer in time.
async fn choose_version<C: Codec>(
    loader: &Loader<C>,
    model: &ModelId,
) -> anyhow::Result<(u64, VersionSource)> {
    let candidate = {
        let view = loader.node.view.borrow();
        let claims = view.claimed_versions(&loader.settings.service, model);
        loader.choice.borrow_mut().next(claims)
    };
    let (version, source) = match candidate {
        Candidate::Claimed(version) => (version, VersionSource::Claimed),
        Candidate::Named(version) => (version, VersionSource::Named),
        Candidate::AskOrigin => {
            let named = sources::newest_version(loader, model).await;
            loader.choice.borrow_mut().record_answer(named.as_ref().ok().copied());
            (named?, VersionSource::Named)
        }
    };
    let basis = format!("{source:?}");
    log::info!(version, source = basis.as_str(); "version chosen without an announcement");
    Ok((version, source))
}
