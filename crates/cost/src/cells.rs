//! Fixed number of cells that refine the cost of a kind by one property of the request.

use std::hash::{
    Hash as _,
    Hasher as _, //
};

use rustc_hash::FxHasher;

/// Number of cells.
const CELL_COUNT: usize = 512;

/// Weight of a new sample in the mean of a cell once there are many.
const SAMPLE_WEIGHT: f32 = 0.02;

/// Largest sample count of a cell. It bounds the time until another pair takes it over.
const SAMPLE_MAX_COUNT: f32 = 200.0;

/// Sample count with which a cell counts by half.
const SHRINK_COUNT: f32 = 12.0;

#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    /// Kind and value that own the cell.
    owner: u64,
    mean_ms: f32,
    sample_count: f32,
}

/// Cells by kind and one property. A pair that shares its cell with another takes it over once that one
/// was not seen for some samples.
#[derive(Clone, Debug)]
pub(crate) struct Cells {
    cells: Box<[Cell; CELL_COUNT]>,
}

impl Default for Cells {
    fn default() -> Self {
        Self {
            cells: Box::new([Cell::default(); CELL_COUNT]),
        }
    }
}

impl Cells {
    /// Returns the mean cost of the pair, shrunk to `kind_ms`, the mean of the kind, while samples are
    /// few.
    pub(crate) fn mean_ms(&self, kind: &str, value: &[u8], kind_ms: f64) -> f64 {
        let (owner, index) = place(kind, value);
        let cell = &self.cells[index];
        if cell.owner != owner {
            return kind_ms;
        }
        let trust = f64::from(cell.sample_count / (cell.sample_count + SHRINK_COUNT));
        kind_ms + trust * (f64::from(cell.mean_ms) - kind_ms)
    }

    /// Records a cost of the pair.
    pub(crate) fn record(&mut self, kind: &str, value: &[u8], cost_ms: f64) {
        let (owner, index) = place(kind, value);
        let cell = &mut self.cells[index];
        if cell.owner != owner {
            cell.sample_count -= 1.0;
            if cell.sample_count > 0.0 {
                return;
            }
            *cell = Cell {
                owner,
                ..Cell::default()
            };
        }
        cell.sample_count = (cell.sample_count + 1.0).min(SAMPLE_MAX_COUNT);
        let weight = SAMPLE_WEIGHT.max(1.0 / cell.sample_count);
        cell.mean_ms += weight * (cost_ms as f32 - cell.mean_ms);
    }
}

/// Returns the owner and the index of the pair's cell.
fn place(kind: &str, value: &[u8]) -> (u64, usize) {
    let mut hasher = FxHasher::default();
    kind.hash(&mut hasher);
    value.hash(&mut hasher);
    // 0 marks a cell without an owner.
    let owner = figway_types::mix(hasher.finish()) | 1;
    (owner, (owner >> 32) as usize % CELL_COUNT)
}
