Feature: What must always hold
  Three daemons in two data centres serve lookups and orders while a backend
  server restarts, another one drains, a data centre is taken out and back,
  operators push configurations, one daemon joins and one leaves.

  Scenario Outline: A promise holds under a fault
    Given the site with seed <seed>
    When <fault> happens at the step <step>
    Then <promise>

    Examples:
      | seed | fault                  | step    | promise                                     |
      | 11   | daemon-paused          | spread  | measuring within its budget                 |
      | 12   | daemon-replaced        | warm    | no more than a cold server can bear         |
      | 13   | daemon-isolated        | out     | no new work for a data centre that is out   |
      | 14   | answer-cut             | read    | own and whole answers                       |
      | 15   | store-answers-lost     | claim   | not-run is true                             |
      | 16   | caller-resends         | wait    | at most once                                |
      | 17   | server-leaves-silently | drain   | no new work for a leaving server            |
      | 18   | store-slow             | leave   | a graceful stop cuts nothing                |
      | 19   | operators-race         | push    | configuration in force and never back       |

  Scenario Outline: A promise holds under two faults
    Given the site with seed <seed>
    When <fault> happens at the step <step>
    And <other> happens at the step <second>
    Then <promise>

    Examples:
      | seed | fault           | step   | other          | second | promise                                   |
      | 21   | store-down      | record | daemon-killed  | answer | at most once                              |
      | 22   | store-down      | warm   | peers-cut      | spread | no more than a cold server can bear       |
      | 23   | store-down      | out    | daemon-paused  | spread | no new work for a data centre that is out |
      | 24   | daemon-replaced | accept | store-slow     | drain  | configuration in force and never back     |
