Feature: Failures that come together, or twice

  Background:
    Given the Authority's fleet
    And 70 open feeds to "berth-desk"

  Scenario: balancers die and join while servers drain
    When server 1 of "berth-desk" is drained
    And balancer 1 is killed
    And 1 balancers join
    And 5 seconds pass
    And server 2 of "berth-desk" is drained
    And balancer 1 is killed
    And 1 balancers join
    And 60 seconds pass
    Then no feed broke
    And no packet reached another service

  Scenario: updates arrive at uneven times while servers join and drain
    When updates arrive up to 5 seconds late
    And the net loses 0% of messages and doubles 20%
    And 3 servers of "berth-desk" join
    And server 1 of "berth-desk" is drained
    And 10 seconds pass
    And server 2 of "berth-desk" is drained
    And 60 seconds pass
    Then no feed broke
    And no packet reached another service

  Scenario: every balancer is replaced while the store is down
    When the store goes down
    And every balancer is killed and starts anew
    And 60 seconds pass
    Then no feed broke
    And every live process has the newest version

  Scenario: a place is lost while the store is down
    When the store goes down
    And the place awash-sebat is lost
    And 60 seconds pass
    Then only feeds of dead servers broke
    And no packet reached another service

  Scenario: a place is cut off and comes back
    When the places adama-landing and metehara-landing are cut apart
    And 10 seconds pass
    And the cut heals
    And 60 seconds pass
    Then no feed broke
    And no packet reached another service

  Scenario: servers are replaced while messages are lost and doubled
    When the net loses 10% of messages and doubles 10%
    And each server of "berth-desk" is replaced, 20 seconds apart
    And 60 seconds pass
    Then no feed broke
    And no packet reached another service

  Scenario: a server dies in a flood
    When callers send 30 "slot-confirmation" a second to "berth-desk" for 30 seconds
    And callers send 50 "shift-report" a second to "berth-desk" for 30 seconds
    And 10 seconds pass
    And server 1 of "berth-desk" is killed
    And 40 seconds pass
    Then the requests kept their promises
    And only feeds of dead servers broke

  Scenario: a server drains in a flood while balancers are replaced
    When callers send 30 "slot-confirmation" a second to "berth-desk" for 60 seconds
    And callers send 50 "shift-report" a second to "berth-desk" for 60 seconds
    And server 1 of "berth-desk" is drained
    And each balancer is replaced, 10 seconds apart
    And 60 seconds pass
    Then the planned stops cut no request
    And the requests kept their promises
    And no feed broke

  Scenario: a server is paused while it drains
    When callers send 30 "slot-confirmation" a second to "berth-desk" for 40 seconds
    And server 1 of "berth-desk" is drained
    And server 1 of "berth-desk" is paused for 10 seconds
    And 60 seconds pass
    Then the requests kept their promises
    And only feeds of dead servers broke

  Scenario: operators race while answers of the store are lost
    When the store loses 60% of its answers
    And 3 operators apply different drain limits at once
    And 90 seconds pass
    Then each operator heard the truth
    And no process went back to an older version

  Scenario: two balancers die at once while requests run
    When callers send 30 "slot-confirmation" a second to "berth-desk" for 30 seconds
    And 5 seconds pass
    And balancer 1 is killed
    And balancer 1 is killed
    And 40 seconds pass
    Then the requests kept their promises
    And no feed broke
