"""Worker processes of the commands that run several scenarios."""

from concurrent.futures import ProcessPoolExecutor
from multiprocessing import active_children


def end_workers(pool: ProcessPoolExecutor) -> None:
    """Terminate a pool's processes; the balancers that they started end with them."""
    pool.shutdown(wait=False, cancel_futures=True)
    for worker in active_children():
        worker.terminate()
