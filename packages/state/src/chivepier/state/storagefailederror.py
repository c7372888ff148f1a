"""The error of a data folder that can't be written."""


class StorageFailedError(Exception):
    """A write or sync of the data folder failed; the voter has stopped.

    After a failed sync the system may drop the pages and report the next
    sync as good, so a retry would acknowledge what is not on the disk.
    """
