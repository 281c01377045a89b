scenario "release-and-errors" {
  about = "A release, errors, and directors that restart in turn: docs/incidents/release-and-errors.md."
  rate = 90
}

hosts "full" {
  count = 7
  cores = 3
  speed = [0.85, 1.1]
}

hosts "slow" {
  count = 7
  cores = 3
  speed = [0.51, 0.69]
}

class "score" {
  share    = 0.85
  work_ms  = [110, 150]
  aim      = "1s"
  deadline = "3s"
  worth    = 1
  effect   = "safe"
}

class "verdict" {
  share    = 0.15
  work_ms  = [50, 70]
  aim      = "600ms"
  deadline = "2s"
  worth    = 6
  effect   = "keyed"
}

fault "errors" {
  at = "5s"
  lasts = "20s"
  part = 0.15
  size = 0.3
}

fault "deploy" {
  at = "10s"
  lasts = "40s"
  size = 0.2
  part = 1.0
}

fault "director_down" {
  at = "18s"
  lasts = "4s"
  director = 0
}

fault "director_down" {
  at = "30s"
  lasts = "4s"
  director = 1
}
