case "overload" {
  about  = "Traffic doubled beyond what all hosts can do: docs/incidents/overload.md."
  tables = "identical" # or "free": only what is expected below counts
}

expect "level" {
  class = "verdict"
  least = 1
  most = 1
}

expect "level" {
  class = "score"
  most = 0.95
  after = "19s"
  until = "34s"
}

expect "share" {
  host = "full-0"
  least = 0.01
  after = "2s"
}
