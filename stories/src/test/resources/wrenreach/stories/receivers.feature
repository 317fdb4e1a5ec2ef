Feature: Receivers that fail and come back
  A receiver that is back gets no more calls than it can bear, and a retry-after that it told is kept.

  Scenario: A busy receiver goes down and returns to a large fleet in slow start
    Given a fleet of 30 nodes
    And 1 destination of 1 receiver each
    And 120 mails a second for 14 s
    And mails that may run again under their tag, wanted within 2.5 s and given up after 8 s
    When at 3 s, for 3 s, receiver 0 is down
    Then no rule is broken
    And receiver 0 gets at most 60 calls in any 0.5 s between 6 s and 9 s
    And receiver 0 is called between 6 s and 9 s

  Scenario: Told waits are kept by every node
    Given a fleet of 10 nodes
    When at 2 s, for 2 s, every receiver is full and tells waits
    Then no rule is broken
    And at least 4 waits are told

  Scenario: A restart ends a wait, and nothing worse
    When at 2 s, for 2 s, every receiver is full and tells waits
    And at 2.8 s, for 0.4 s, every node is killed
    Then no rule is broken

  Scenario: A drain told while the node was down
    When at 2 s, for 1.5 s, node 0 is killed
    And at 2.5 s, for 1 s, receiver 1 is drained and replaced
    Then no rule is broken

  Scenario: A drain told while the node is cut off from the platform
    When at 2 s, for 3 s, node 0 is cut off from the platform
    And at 2.5 s, for 1 s, receiver 1 is drained and replaced
    Then no rule is broken

  Scenario: A node goes on for long with an old list
    Given 2 destinations of 3 receivers each
    When at 1 s, for 7 s, node 0 is cut off from the platform
    And every 1.5 s, for 1 s, receiver 0 is drained and replaced, then the next
    Then no rule is broken
    And at least 90 % of the mails are delivered

  Scenario: Mails of one key stay in order although receivers fail and nodes die
    Given mails that may run again, wanted within 2 s and given up after 8 s
    When at 1.5 s, for 2 s, receiver 0 errs
    And at 2 s, for 2 s, receiver 1 answers nothing
    And at 2.5 s, for 0.6 s, a third of the nodes is killed
    Then no rule is broken

  Scenario: A receiver's machine vanishes without closing its connections, and comes back
    When at 2 s, for 2.5 s, the machine of receiver 2 is gone without a word
    Then no rule is broken
    And at least 97 % of the mails are delivered

  Scenario: A receiver gets more mails with order keys than it can serve
    Given a fleet of 10 nodes
    And 1 destination of 1 receiver each
    And 600 mails a second for 8 s
    And mails that may run again under their tag, wanted within 2.5 s and given up after 12 s
    Then no rule is broken
    And those behind an open mail of their key are refused at most 10 % more often than the others
