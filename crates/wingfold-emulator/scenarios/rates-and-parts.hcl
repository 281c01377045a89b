scenario "rates-and-parts" {
  about = "Levels as rates, many proxies of little traffic that share parts of a large fleet, calls that must run once."
  rate = 160
  proxies = 60
  levels = "rate"
  conn_idle = "6s"
  directors = 2
  local_first = true
}

hosts "box" {
  count = 30
  cores = 2
  speed = [0.7, 1.2]
}

class "view" {
  share    = 0.7
  work_ms  = [100, 130]
  aim      = "750ms"
  deadline = "2s"
  worth    = 3
}

class "sell" {
  share    = 0.3
  work_ms  = [100, 130]
  aim      = "750ms"
  deadline = "2500ms"
  worth    = 9
  effect   = "once"
  zones    = ["a", "b"]
}

fault "neighbour" {
  at = "10s"
  lasts = "30s"
  part = 0.3
  size = 0.6
}

fault "crash" {
  at = "20s"
  lasts = "10s"
  part = 0.1
}
