case "wrong-list" {
  about  = "The list called most hosts gone while they served; one of them did die: docs/incidents/wrong-list.md."
  tables = "identical" # or "free": only what is expected below counts
}

expect "share" {
  host = "full-3"
  least = 0.01
  after = "16s"
  until = "36s"
}

expect "share" {
  host = "slow-3"
  least = 0.01
  after = "16s"
  until = "36s"
}

expect "out" {
  host = "full-2"
  zone = "a"
  after = "22s"
  until = "25s"
}

expect "out" {
  host = "full-2"
  zone = "c"
  after = "23.2s"
  until = "25s"
}
