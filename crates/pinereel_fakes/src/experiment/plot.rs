//! Results as an SVG plot: idle share by policy, a panel for each scenario.

use super::{
    figure::{Figures, Spread},
    table::Row,
};
use compact_str::CompactString;
use plotters::prelude::*;
use std::path::Path;

/// Height of one bar, and of a panel's head, in pixels.
const BAR: u32 = 22;
const HEAD: u32 = 60;
/// Width of the plot and of its left margin for names, in pixels.
const WIDTH: u32 = 900;
const MARGIN: u32 = 130;

/// A plot could not be drawn or written.
#[derive(Debug, thiserror::Error)]
#[error("plot: {0}")]
pub struct Error(String);

/// Draws all rows to `file`.
///
/// # Errors
/// If the file can't be written.
pub fn draw(rows: &[Row], file: &Path) -> Result<(), Error> {
    let mut names: Vec<CompactString> = rows.iter().map(|row| row.scenario.clone()).collect();
    names.dedup();
    let most = names
        .iter()
        .map(|name| rows.iter().filter(|row| row.scenario == *name).count())
        .max();
    let panel = HEAD + BAR * most.unwrap_or(0) as u32;
    let size = (WIDTH, panel * names.len() as u32);
    let root = SVGBackend::new(file, size).into_drawing_area();
    root.fill(&WHITE).map_err(fault)?;
    let areas = root.split_evenly((names.len(), 1));
    for (area, name) in areas.iter().zip(&names) {
        let own: Vec<_> = rows.iter().filter(|row| row.scenario == *name).collect();
        draw_panel(area, name, &own)?;
    }
    root.present().map_err(fault)
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_panel(area: &Area<'_>, name: &str, rows: &[&Row]) -> Result<(), Error> {
    let title = format!("{name}: idle share (bar), staleness (dot, versions / 3), bound (line)");
    let style = ("sans-serif", 15).into_font();
    area.draw(&Text::new(title, (10, 8), style))
        .map_err(fault)?;
    for (index, row) in rows.iter().enumerate() {
        let top = (HEAD / 2 + BAR * index as u32) as i32;
        draw_bar(area, top, row)?;
    }
    Ok(())
}

fn draw_bar(area: &Area<'_>, top: i32, row: &Row) -> Result<(), Error> {
    let mean = |get: fn(&Figures) -> f64| Spread::of(&row.runs, get).mean;
    let at = |share: f64| {
        let room = f64::from(WIDTH - MARGIN - 20);
        (MARGIN as i32) + (share.clamp(0.0, 1.0) * room) as i32
    };
    let bottom = top + BAR as i32 - 6;
    let middle = i32::midpoint(top, bottom);
    let small = ("sans-serif", 12).into_font();
    let name = Text::new(row.policy.to_string(), (6, top + 2), small);
    area.draw(&name).map_err(fault)?;
    let bar = [(at(0.0), top), (at(mean(|f| f.idle)), bottom)];
    let bar = Rectangle::new(bar, RGBColor(90, 130, 190).filled());
    area.draw(&bar).map_err(fault)?;
    let idle = Spread::of(&row.runs, |f| f.idle);
    let whisker = vec![(at(idle.least), middle), (at(idle.most), middle)];
    area.draw(&PathElement::new(whisker, BLACK))
        .map_err(fault)?;
    let bound = at(mean(|f| f.bound));
    let line = PathElement::new(vec![(bound, top), (bound, bottom)], RED);
    area.draw(&line).map_err(fault)?;
    let stale = at(mean(|f| f.stale_mean) / 3.0);
    let dot = Circle::new((stale, middle), 3, RGBColor(200, 120, 0).filled());
    area.draw(&dot).map_err(fault)
}

fn fault(error: impl std::fmt::Display) -> Error {
    Error(error.to_string())
}
