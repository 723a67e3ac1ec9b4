//! The answer of `GET /v1/models`.

use bundle::Bundle;
use bundle::id::{ModelId, TeamId};
use serde::Serialize;

/// A list of models.
#[derive(Debug, Serialize)]
pub struct List {
    /// Kind of object.
    pub object: &'static str,
    /// The models.
    pub data: Vec<Model>,
}

/// A model.
#[derive(Debug, Serialize)]
pub struct Model {
    /// Name that a request gives.
    pub id: String,
    /// Kind of object.
    pub object: &'static str,
    /// Always 0: bundles carry no time.
    pub created: u64,
    /// Who offers it.
    pub owned_by: &'static str,
}

/// Whether `team` may use `model`.
pub fn allowed(bundle: &Bundle, team: TeamId, model: ModelId) -> bool {
    let models = &bundle.teams[usize::from(team)].models;
    models.is_empty() || models.contains(&model)
}

/// The models that `team` may use, each also with its adapters.
pub fn list(bundle: &Bundle, team: TeamId) -> List {
    let mut data = Vec::new();
    for (id, model) in (0..).zip(&bundle.models) {
        if !allowed(bundle, team, id) {
            continue;
        }
        data.push(model_entry(model.name.clone()));
        let adapters = model.adapters.iter();
        data.extend(adapters.map(|a| model_entry(format!("{}:{a}", model.name))));
    }
    List {
        object: "list",
        data,
    }
}

fn model_entry(id: String) -> Model {
    Model {
        id,
        object: "model",
        created: 0,
        owned_by: "wigeonshelf",
    }
}
