scenario "overload" {
  about = "Traffic jumps beyond what all hosts can do: docs/incidents/overload.md."
  rate = 110
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

fault "burst" {
  at = "15s"
  lasts = "20s"
  size = 2.3
}
