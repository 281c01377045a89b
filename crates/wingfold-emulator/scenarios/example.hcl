# A site with three zones, modelled on a small inspection service. The scenarios in this directory use most of
# the keys that a scenario can have; src/scenario/reader.rs and its submodules define all keys and the
# defaults of missing keys.
scenario "example" {
  about    = "A checker slows down, another one dies, and a hall drains two: an ordinary rough minute."
  length   = "60s"
  zones    = ["livingston", "hillington", "south-gyle"]
  far      = "2ms"
  rate     = 110
  proxies  = 9
  unequal  = 0.6
  directors = 2
  crossing_price = 0.06
  report_period  = "1s"
  reports_late   = "500ms"
  disorder       = 0.1
  list_lag       = "1500ms"
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

channel {
  lines_per_s = 2800
  overhead    = 4
  queue_max   = 3000
  delay       = "250ms"
  delay_max   = "700ms"
}

rules {
  bare            = "3s"
  drain_grace     = "3400ms"
  cold            = "14s"
  start_capacity  = 0.2
  overload_factor = 4
  overload_for    = "3s"
}

peers {
  per_s = 1
  loss  = 0.3
}

fault "slow" {
  at    = "12s"
  lasts = "20s"
  hosts = ["full-2"]
  size  = 6
}

fault "crash" {
  at    = "25s"
  lasts = "10s"
  hosts = ["slow-3"]
}

fault "drain" {
  at    = "40s"
  lasts = "12s"
  by    = "5s"
  hosts = ["full-0", "slow-1"]
}
