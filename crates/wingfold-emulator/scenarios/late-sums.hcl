scenario "late-sums" {
  about = "Sums come three seconds late while a host slows down, and a director stands still."
  rate = 100
  disorder = 0.4
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

fault "late_reports" {
  at = "10s"
  lasts = "25s"
  by = "3s"
}

fault "slow" {
  at = "15s"
  lasts = "20s"
  part = 0.15
  size = 6
}

fault "director_stall" {
  at = "28s"
  lasts = "3s"
  director = 0
}
