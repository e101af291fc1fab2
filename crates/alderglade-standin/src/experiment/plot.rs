//! An experiment's outcome as a picture: time to first token per group and length.

use super::Outcome;
use plotters::prelude::*;
use std::path::Path;

const SIZE: (u32, u32) = (1_000, 480);
const SHORTEST_MS: f64 = 10.0;

/// Draws the 95th percentile of the time to the first token, naive beside alderglade.
///
/// # Errors
///
/// Where the file can't be written.
pub fn draw(path: &Path, outcome: &Outcome) -> Result<(), Box<dyn std::error::Error>> {
    let half = outcome.rows.len() / 2;
    let (naive, ours) = outcome.rows.split_at(half);
    let highest = outcome
        .rows
        .iter()
        .map(|row| row.first_token_ms.p95)
        .fold(1_000.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let caption = format!(
        "{}: time to first token, p95 (red naive, blue alderglade)",
        outcome.name
    );
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..half as f64, (SHORTEST_MS..highest * 2.0).log_scale())?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(0)
        .y_desc("ms")
        .draw()?;
    for (position, (naive, ours)) in naive.iter().zip(ours).enumerate() {
        let at = position as f64;
        let bar = |left: f64, height: f64, colour: RGBColor| {
            let corners = [
                (at + left, SHORTEST_MS),
                (at + left + 0.35, height.max(SHORTEST_MS)),
            ];
            Rectangle::new(corners, colour.filled())
        };
        chart.draw_series([
            bar(0.1, naive.first_token_ms.p95, RED),
            bar(0.5, ours.first_token_ms.p95, BLUE),
        ])?;
        let label = format!("{} {}", ours.group, ours.tokens);
        chart.draw_series([Text::new(
            label,
            (at + 0.1, highest * 1.6),
            ("sans-serif", 12),
        )])?;
    }
    area.present()?;
    Ok(())
}
