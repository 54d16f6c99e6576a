//! Faults that a soak can inject.

/// Fault that a soak can inject. The names of the variants appear in its report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    KillNode,
    StopNode,
    PauseNode,
    CutStore,
    SlowStore,
    StoreDown,
    StoreLosesAnswers,
    ForgetHistory,
    DamagedConfig,
    ConfigStorm,
    LoseAnswers,
    SlowBackend,
    RestartBackend,
    DrainBackend,
    RestoreStore,
    LimitBackend,
    LeaveBackend,
    CutAnswers,
    RepeatAnswers,
    RepeatRefusals,
    DepartBackend,
    DepartBackendAndKillNode,
}

/// All faults.
pub(super) const FAULTS: [Fault; 22] = [
    Fault::KillNode,
    Fault::StopNode,
    Fault::PauseNode,
    Fault::CutStore,
    Fault::SlowStore,
    Fault::StoreDown,
    Fault::StoreLosesAnswers,
    Fault::ForgetHistory,
    Fault::DamagedConfig,
    Fault::ConfigStorm,
    Fault::LoseAnswers,
    Fault::SlowBackend,
    Fault::RestartBackend,
    Fault::DrainBackend,
    Fault::RestoreStore,
    Fault::LimitBackend,
    Fault::LeaveBackend,
    Fault::CutAnswers,
    Fault::RepeatAnswers,
    Fault::RepeatRefusals,
    Fault::DepartBackend,
    Fault::DepartBackendAndKillNode,
];
