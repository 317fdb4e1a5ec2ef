Feature: Processes that end, freeze or do not start
  The mails that a node has accepted survive its process, and none takes effect twice because of that.

  Scenario: A third of the fleet is killed at once
    Given a fleet of 30 nodes
    And 4 destinations of 2 receivers each
    And 90 mails a second for 8 s
    When at 2 s, for 1 s, a third of the nodes is killed
    Then no rule is broken
    And at least 99 % of the mails are delivered

  Scenario: Seven in ten are killed while discovery is silent
    Given a fleet of 20 nodes
    And 3 destinations of 2 receivers each
    And 60 mails a second for 10 s
    When at 2 s, for 6 s, every node is cut off from the platform
    And at 3 s, for 0.6 s, half of the nodes are killed
    And at 3 s, for 0.6 s, a third of the nodes is killed
    Then no rule is broken
    And at least 97 % of the mails are delivered

  Scenario: Rolling kills
    Given mails that may run again under their tag, wanted within 2 s and given up after 8 s
    When every 1.5 s, for 0.6 s, node 0 is killed, then the next
    Then no rule is broken
    And at least 99 % of the mails are delivered

  Scenario: A process that is killed again as soon as it serves
    Given a fleet of 1 node
    And 20 mails a second for 6 s
    When at 2 s, for 0.5 s, node 0 is killed
    And once node 0 serves for the 2. time, for 0.5 s, node 0 is killed
    Then no rule is broken
    And node 0 serves 3 times

  Scenario: A kill in the middle of a write to the journal
    Given mails that may run once only, wanted within 2 s and given up after 6 s
    When at 2 s, for 0.6 s, node 0 is killed in the middle of a write
    And at 4 s, for 0.6 s, node 1 is killed in the middle of a write
    Then no rule is broken
    And no mail runs twice

  Scenario: A kill between the write to the journal and the bytes sent after it
    Given mails that may run once only, wanted within 2 s and given up after 6 s
    When at 2 s, for 0.6 s, node 0 is killed right after a write
    Then no rule is broken
    And no mail runs twice

  Scenario: The same with the store in place of the journal
    Given what is owed lies in the store
    And mails that may run once only, wanted within 2 s and given up after 6 s
    When at 2 s, for 0.6 s, node 0 is killed in the middle of a write
    And at 4 s, for 0.6 s, node 1 is killed right after a write
    Then no rule is broken
    And no mail runs twice

  Scenario: A machine that vanishes without closing its connections
    When at 2 s, for 2 s, the machine of node 1 is gone without a word
    Then no rule is broken
    And at least 95 % of the mails are delivered

  Scenario: A process that is frozen for longer than its clients' timeout
    Given a fleet of 2 nodes
    And 4 destinations of 2 receivers each
    And 120 mails a second for 8 s
    When at 2 s, for 3.5 s, node 0 stands still
    And at 6 s, for 1.5 s, every node stands still
    Then no rule is broken
    And at least 85 % of the mails are delivered

  Scenario: A third of the fleet is frozen while the rest is killed one by one
    Given a fleet of 6 nodes
    And 60 mails a second for 9 s
    When at 2 s, for 2 s, a third of the nodes stands still
    And every 2.5 s, for 0.6 s, node 1 is killed, then the next
    Then no rule is broken

  Scenario: A process that does not start for a while
    When at 2 s, for 2 s, node 2 is killed and no process of it comes up
    Then no rule is broken
    And node 2 serves 2 times

  Scenario: A slow start
    When at 2 s, for 1.5 s, node 0 is killed and its next process stands still as it starts
    Then no rule is broken
    And at least 97 % of the mails are delivered

  Scenario: A node is killed once it has accepted 50 mails
    When once node 2 has taken 50 mails, for 0.6 s, node 2 is killed
    Then no rule is broken
    And node 2 serves 2 times
