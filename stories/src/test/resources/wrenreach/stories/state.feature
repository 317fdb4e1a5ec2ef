Feature: Disks and state folders
  A node that can't store mails refuses them or stops; it never reports anything untrue.

  Scenario: The disk fills up and is freed again
    When at 2 s, for 2 s, the disk of node 0 is full
    Then no rule is broken

  Scenario: A write fails
    When at 2 s, for 1 s, the next write of node 1 fails
    Then no rule is broken
    And node 1 serves 1 times
    And at least 97 % of the mails are delivered

  Scenario: An old state folder is put back
    Given mails that may run once only, wanted within 2 s and given up after 6 s
    When at 2 s, for 2 s, the state folder of node 0 is copied, and put back when it is over
    Then no rule is broken

  Scenario: A state folder is lost with its machine
    When at 3 s, for 1 s, node 0 is killed and its state folder is lost
    Then no rule is broken
    And at least 97 % of the mails are delivered

  Scenario: A state folder that can't be written
    When at 2 s, for 2 s, node 0 is killed and its state folder can't be written
    Then no rule is broken
    And node 0 serves 2 times
