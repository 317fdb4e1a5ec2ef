Feature: Links that break
  A node goes on with what it knows, and keeps its mails to their rules.

  Scenario: A node that can't reach the platform
    When at 2 s, for 3 s, node 0 is cut off from the platform
    Then no rule is broken
    And at least 99 % of the mails are delivered

  Scenario: A node that its clients can't reach
    When at 2 s, for 2 s, node 0 is cut off from its clients
    Then no rule is broken

  Scenario: A node and a receiver that can't reach each other
    When at 2 s, for 2 s, nothing passes n1-r0
    Then no rule is broken
    And at least 98 % of the mails are delivered

  Scenario: Responses are lost on their way back
    Given mails that may run once only, wanted within 2 s and given up after 6 s
    When at 2 s, for 2 s, nothing passes receivers>n0
    Then no rule is broken
    And no mail runs twice

  Scenario: A node that hears all and is heard by none
    When at 2 s, for 2 s, node 1 hears all and is heard by none
    Then no rule is broken

  Scenario: A node that is heard by all and hears none
    When at 2 s, for 2 s, node 1 is heard by all and hears none
    Then no rule is broken

  Scenario: The fleet is partitioned into three parts
    Given a fleet of 6 nodes
    When at 2 s, for 3 s, the fleet falls apart into n0,n1,r0,r1|n2,n3,r2,r3|n4,n5,platform
    Then no rule is broken

  Scenario: Half of all links to receivers are reset at once
    Given a fleet of 10 nodes
    And 80 mails a second for 8 s
    And mails that may run again under their tag, wanted within 2 s and given up after 8 s
    When at 2 s, for 1 s, half of the links nodes-receivers are reset at once
    And at 4 s, for 1 s, half of the links nodes-receivers are reset at once
    Then no rule is broken
    And at least 99 % of the mails are delivered

  Scenario: Two faults on one link at the same time
    When at 2 s, for 3 s, all is 150 ms late n0-r1
    And at 3 s, for 1 s, nothing passes n0>r1
    Then no rule is broken

  Scenario: Half of a request arrives, and then nothing
    When at 2 s, for 2 s, half a message passes clients>n0 and then nothing
    And at 2 s, for 2 s, half a message passes n1>r0 and then nothing
    Then no rule is broken

  Scenario: The relay of a link dies
    When at 2 s, for 1.5 s, what carries n0-r0 dies
    And at 3 s, for 1.5 s, what carries n1-platform dies
    Then no rule is broken
    And at least 99 % of the mails are delivered

  Scenario: A link of low bandwidth to the platform
    When at 2 s, for 3 s, no more than 400 bytes a second pass n0-platform
    And at 2 s, for 3 s, receiver 0 errs
    Then no rule is broken
