case "restart-in-a-release" {
  about  = "A director restarted in the middle of a release and knew no ranking: docs/incidents/release-and-errors.md."
  tables = "identical" # or "free": only what is expected below counts
}

expect "out" {
  host = "slow-2"
  after = "1s"
  until = "5.5s"
}

expect "out" {
  host = "full-0"
  after = "8s"
  until = "11s"
}
