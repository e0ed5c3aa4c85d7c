//! Every way in which the orders of a switch can fare, up to a number of troubles.

/// What becomes of one order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Fate {
    /// Carried out and answered.
    #[default]
    Fine,
    /// Carried out; the answer is lost.
    Unanswered,
    /// Lost.
    Lost,
    /// Not answered, and carried out after so many passes.
    Late(u64),
    /// Answered, and carried out once more after so many passes.
    Twice(u64),
    /// Carried out after some passes have begun.
    AfterPasses,
    /// The rank crashes before it.
    CrashBefore,
    /// The rank crashes after it.
    CrashAfter,
    /// The coordinator stands still instead of giving it.
    StandStill,
}

/// All fates but the good one.
const TROUBLES: [Fate; 11] = [
    Fate::Unanswered,
    Fate::Lost,
    Fate::Late(1),
    Fate::Late(5),
    Fate::Late(30),
    Fate::Twice(1),
    Fate::Twice(30),
    Fate::AfterPasses,
    Fate::CrashBefore,
    Fate::CrashAfter,
    Fate::StandStill,
];

/// Fates of the orders in turn; all later ones fare well.
#[derive(Clone, Debug, Default)]
pub(crate) struct Script {
    fates: Vec<Fate>,
    given: usize,
}

impl Script {
    /// Fate of the next order.
    pub(crate) fn next(&mut self) -> Fate {
        self.given += 1;
        self.fates.get(self.given - 1).copied().unwrap_or_default()
    }
}

/// Plays every script with up to `troubles` troubles; each is told to `play`, which returns it.
///
/// The number of orders is found by playing, since it depends on what became of
/// those before.
pub(crate) fn explore<F>(troubles: u32, play: &mut F) -> usize
where
    F: FnMut(Script) -> Script,
{
    explore_from(&[], troubles, play)
}

fn explore_from<F>(fates: &[Fate], troubles: u32, play: &mut F) -> usize
where
    F: FnMut(Script) -> Script,
{
    let start = fates.len();
    let played = play(Script {
        fates: fates.to_vec(),
        given: 0,
    });
    let mut count = 1;
    if troubles == 0 {
        return count;
    }
    for position in start..played.given {
        for trouble in TROUBLES {
            let mut next = fates.to_vec();
            next.resize(position, Fate::Fine);
            next.push(trouble);
            count += explore_from(&next, troubles - 1, play);
        }
    }
    count
}
