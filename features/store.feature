Feature: The store is down, slow or lossy and callers do not notice

  Background:
    Given the Authority's fleet
    And 70 open feeds to "berth-desk"

  Scenario: the store is down for half an hour
    When the store goes down
    And 1800 seconds pass
    Then no feed broke
    And no live server was taken out
    When the store comes back
    And 60 seconds pass
    Then no feed broke
    And no live server was taken out

  Scenario: the store is slow for long
    When the store answers after 5 seconds
    And 300 seconds pass
    Then no feed broke
    And no live server was taken out

  Scenario: leases lapse while their holder is paused
    When balancer 1 is paused for 60 seconds
    And 120 seconds pass
    Then no feed broke
    And no live server was taken out

  Scenario: a server that died while the store was down is taken out
    When the store goes down
    And server 1 of "berth-desk" is killed
    And 30 seconds pass
    Then only feeds of dead servers broke
    And no balancer shows a dead server
    And the time line tells why each dead server is out
