//! Results as an SVG plot of the idle share by policy, with one panel per scenario.

use super::{
    metrics::{Metrics, Summary},
    table::Row,
};
use compact_str::CompactString;
use plotters::prelude::*;
use std::path::Path;

/// Height of a policy's row, in pixels.
const ROW_HEIGHT: u32 = 22;
/// Vertical space for a panel's title and margins, in pixels.
const TITLE_HEIGHT: u32 = 60;
/// Width of the plot, in pixels.
const PLOT_WIDTH: u32 = 900;
/// Width of the left margin, which holds the names of the policies, in pixels.
const LEFT_MARGIN: u32 = 130;

/// The plot could not be drawn or written.
#[derive(Debug, thiserror::Error)]
#[error("plot: {0}")]
pub struct Error(String);

/// Draws the rows to `file`. Rows of the same scenario must be adjacent.
///
/// # Errors
/// See [`Error`].
pub fn draw(rows: &[Row], file: &Path) -> Result<(), Error> {
    let mut names: Vec<CompactString> = rows.iter().map(|row| row.scenario.clone()).collect();
    names.dedup();
    let max_rows = names
        .iter()
        .map(|name| rows.iter().filter(|row| row.scenario == *name).count())
        .max();
    let panel_height = TITLE_HEIGHT + ROW_HEIGHT * max_rows.unwrap_or(0) as u32;
    let size = (PLOT_WIDTH, panel_height * names.len() as u32);
    let root = SVGBackend::new(file, size).into_drawing_area();
    root.fill(&WHITE).map_err(plot_error)?;
    let areas = root.split_evenly((names.len(), 1));
    for (area, name) in areas.iter().zip(&names) {
        let panel_rows: Vec<_> = rows.iter().filter(|row| row.scenario == *name).collect();
        draw_panel(area, name, &panel_rows)?;
    }
    root.present().map_err(plot_error)
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_panel(area: &Area<'_>, name: &str, rows: &[&Row]) -> Result<(), Error> {
    let title = format!("{name}: idle share (bar), staleness (dot, versions / 3), bound (line)");
    let style = ("sans-serif", 15).into_font();
    area.draw(&Text::new(title, (10, 8), style))
        .map_err(plot_error)?;
    for (index, row) in rows.iter().enumerate() {
        let top = (TITLE_HEIGHT / 2 + ROW_HEIGHT * index as u32) as i32;
        draw_row(area, top, row)?;
    }
    Ok(())
}

fn draw_row(area: &Area<'_>, top: i32, row: &Row) -> Result<(), Error> {
    let mean = |get: fn(&Metrics) -> f64| Summary::of(&row.runs, get).mean;
    let x_of = |share: f64| {
        let axis_width = f64::from(PLOT_WIDTH - LEFT_MARGIN - 20);
        (LEFT_MARGIN as i32) + (share.clamp(0.0, 1.0) * axis_width) as i32
    };
    let bottom = top + ROW_HEIGHT as i32 - 6;
    let middle = i32::midpoint(top, bottom);
    let small = ("sans-serif", 12).into_font();
    let name = Text::new(row.policy.to_string(), (6, top + 2), small);
    area.draw(&name).map_err(plot_error)?;
    let bar = [(x_of(0.0), top), (x_of(mean(|m| m.idle_share)), bottom)];
    let bar = Rectangle::new(bar, RGBColor(90, 130, 190).filled());
    area.draw(&bar).map_err(plot_error)?;
    let idle = Summary::of(&row.runs, |m| m.idle_share);
    let range = vec![(x_of(idle.min), middle), (x_of(idle.max), middle)];
    area.draw(&PathElement::new(range, BLACK))
        .map_err(plot_error)?;
    let bound = x_of(mean(|m| m.idle_bound));
    let line = PathElement::new(vec![(bound, top), (bound, bottom)], RED);
    area.draw(&line).map_err(plot_error)?;
    let staleness = x_of(mean(|m| m.staleness_mean) / 3.0);
    let dot = Circle::new((staleness, middle), 3, RGBColor(200, 120, 0).filled());
    area.draw(&dot).map_err(plot_error)
}

fn plot_error(error: impl std::fmt::Display) -> Error {
    Error(error.to_string())
}
