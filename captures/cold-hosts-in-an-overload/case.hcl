case "cold-hosts-in-an-overload" {
  about  = "Hosts died in an overload and came back cold: docs/incidents/cold-host-under-strain.md."
  tables = "identical" # or "free": only what is expected below counts
}

expect "out" {
  host = "full-6"
  after = "16.6s"
  until = "23.5s"
}

expect "out" {
  host = "slow-2"
  after = "16.6s"
  until = "23.5s"
}

expect "share" {
  host = "full-6"
  most = 0.10
  after = "23.9s"
  until = "29s"
}

expect "level" {
  class = "verdict"
  least = 1
  most = 1
}
