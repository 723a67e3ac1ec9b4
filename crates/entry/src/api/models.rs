//! The answer to `GET /v1/models`.

use bundle::Bundle;
use bundle::id::{ModelId, TeamId};
use serde::Serialize;

/// A list of models.
#[derive(Debug, Serialize)]
pub struct List {
    /// Object type.
    pub object: &'static str,
    /// The models and adapters.
    pub data: Vec<Model>,
}

/// A model, or a model with an adapter.
#[derive(Debug, Serialize)]
pub struct Model {
    /// Name to use in requests: `model` or `model:adapter`.
    pub id: String,
    /// Object type.
    pub object: &'static str,
    /// Always 0, because bundles contain no time of creation.
    pub created: u64,
    /// Owner of the model.
    pub owned_by: &'static str,
}

/// Returns whether `team` may use `model`. A team without a list of models may use all.
pub fn allowed(bundle: &Bundle, team: TeamId, model: ModelId) -> bool {
    let models = &bundle.teams[usize::from(team)].models;
    models.is_empty() || models.contains(&model)
}

/// Lists the models that `team` may use, each followed by its adapters.
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
