"""Steps for the soak test of real processes."""

import logging

from behave import given, when
from benchmarks.process_soak import run_process_soak
from benchmarks.soak import processes


@given("processes that are killed in place of a shutdown")
def kill_in_place_of_shutdown(context):
    send_signal = processes.send_signal

    def kill(process, number):
        is_shutdown = number == processes.signal.SIGTERM
        send_signal(process, processes.signal.SIGKILL if is_shutdown else number)

    processes.send_signal = kill
    context.add_cleanup(setattr, processes, "send_signal", send_signal)


@when('a soak test of real processes with the faults "{names}" runs with seed {seed:d}')
def run_processes(context, names, seed):
    logging.disable(logging.CRITICAL)
    try:
        context.result = run_process_soak(seed, tuple(names.split(", ")))
    finally:
        logging.disable(logging.NOTSET)
