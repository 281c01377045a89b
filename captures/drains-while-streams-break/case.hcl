case "drains-while-streams-break" {
  about  = "A third of the fleet drained while all proxies dialled again: docs/incidents/joins-and-drains-at-size.md."
  tables = "identical" # or "free": only what is expected below counts
}

expect "out" {
  host = "full-2"
  after = "6.6s"
  until = "26.5s"
}

expect "out" {
  host = "slow-4"
  after = "8s"
  until = "26.5s"
}
