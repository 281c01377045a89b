scenario "drains-and-joins" {
  about = "A third of the fleet drains at once while all streams break: docs/incidents/joins-and-drains-at-size.md."
  rate = 70
  proxies = 24
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

fault "drain" {
  at = "20s"
  lasts = "20s"
  by = "4s"
  part = 0.3
}

fault "streams_break" {
  at = "20s"
}
