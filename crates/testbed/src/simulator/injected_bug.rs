//! Bugs that are injected into the heads, to show that the auditor sees them.

/// A bug that is injected into the heads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// Now and then an answer is sent twice.
    AnswerTwice,
    /// Now and then an answer is not sent.
    SwallowAnswer,
    /// Now and then an attempt is sent twice.
    SendTwice,
    /// A write whose attempt ended without proof is sent again.
    WriteAgain,
    /// Updates that say that a backend drains are ignored.
    IgnoreDrains,
    /// All requests of a head are sent to the backend that started last, whatever it can take.
    FloodLastStarted,
    /// Now and then a client gets another's answer.
    MixAnswers,
    /// One volume is rejected, whatever its reservation.
    StarveVolume,
}

impl InjectedBug {
    /// All, with their names on the command line.
    pub const ALL: [(InjectedBug, &'static str); 8] = [
        (InjectedBug::AnswerTwice, "answer-twice"),
        (InjectedBug::SwallowAnswer, "swallow"),
        (InjectedBug::SendTwice, "send-twice"),
        (InjectedBug::WriteAgain, "write-again"),
        (InjectedBug::IgnoreDrains, "ignore-drains"),
        (InjectedBug::FloodLastStarted, "flood-cold"),
        (InjectedBug::MixAnswers, "mix"),
        (InjectedBug::StarveVolume, "starve"),
    ];
}
