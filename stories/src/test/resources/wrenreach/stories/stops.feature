Feature: Planned stops and new configurations
  No client loses its reply by a planned stop.

  Scenario: One node is stopped and started again
    When at 2 s, for 0.6 s, node 1 is told to stop
    Then no rule is broken
    And at least 99.5 % of the mails are delivered

  Scenario: The fleet is rolled while endpoints are replaced
    Given a fleet of 10 nodes
    And 2 destinations of 3 receivers each
    And 60 mails a second for 14 s
    When every 1 s, for 0.6 s, node 0 is told to stop, then the next
    And every 2.2 s, for 1 s, receiver 0 is drained and replaced, then the next
    Then no rule is broken
    And at least 99 % of the mails are delivered

  Scenario: All nodes are told to stop at the same time
    When at 3 s, for 0.6 s, every node is told to stop
    Then no rule is broken

  Scenario: A process that ignores SIGTERM
    When at 2 s, for 0.6 s, node 1 is told to stop but does not hear it
    Then no rule is broken
    And node 1 serves 2 times

  Scenario: Discovery moves while a node is told to stop
    When at 2 s, for 3 s, node 0 is given another address of discovery
    And at 2.1 s, for 0.6 s, node 0 is told to stop
    Then no rule is broken
