"""Worker processes of commands that play several scenarios."""

from concurrent.futures import ProcessPoolExecutor
from multiprocessing import active_children


def end_workers(pool: ProcessPoolExecutor) -> None:
    """End a pool's processes at once; the balancers that they have started end with them."""
    pool.shutdown(wait=False, cancel_futures=True)
    for worker in active_children():
        worker.terminate()
