scenario "wrong-list" {
  about = "The list calls most hosts gone while they run, where that is advice: docs/incidents/wrong-list.md."
  rate = 100
  gone_is_advice = true
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

fault "wrong_list" {
  at = "15s"
  lasts = "20s"
  part = 0.8
}

fault "crash" {
  at = "20s"
  lasts = "15s"
  part = 0.1
}
